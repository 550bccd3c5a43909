package nettlewick.decision;

/**
 * How many probes go with an arrival: as many as cost, together, what the next one would save. Pure.
 *
 * <p>What is known of a runner ages: with k probes an arrival, a choice by stale knowledge costs about
 * {@code STALE / k} of a mean job. A probe costs its price, and the work it takes at the runner as a part of
 * a mean job's. The sum is least at the square root of one over the other.
 */
final class Probing {
    /**
     * Part of a mean job's worth that is lost to stale knowledge at one probe an arrival: half the probes
     * cost 0.011 and 0.010 on 40 days of each of two sites, before their price (docs/deployments.md).
     */
    private static final double STALE = 0.033;
    private static final double MOST = 3;
    private static final double LEAST = 0.5;
    /** A shortest answer is forgotten this slowly: a hundredth with each one. */
    private static final double FADE = 1.01;

    private final double price;
    private double took = Double.NaN;

    /** @param price what the site takes off for a probe, as a part of a mean job's worth */
    Probing(double price) {
        this.price = price;
    }

    /** A runner close by answered a probe after so long: the shortest is work, what is over is waiting. */
    void answered(double latency) {
        took = Double.isNaN(took) ? latency : Math.min(latency, took * FADE);
    }

    /** Probes for each arrival, where a mean job runs for so long (0: not known), in the latency's unit. */
    double perArrival(double run) {
        double cost = price + (run > 0 && took > 0 ? Math.min(1, took / run) : 0);
        return cost <= 0 ? MOST : Math.min(MOST, Math.max(LEAST, Math.sqrt(STALE / cost)));
    }
}
