package nettlewick.contention;

import java.util.Map;
import java.util.Set;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;

/**
 * Statistical tests of whether a tenant's load harms other tenants: their attempts on endpoints where the tenant
 * exceeds its quota (exposed) are compared with attempts elsewhere or at other times (control). Stateless.
 */
final class HarmAnalysis {
    /** The minimum number of other tenants' attempts in each of the two samples compared. */
    private static final int MIN_ATTEMPTS = 20;
    /** A smaller fraction of harmed attempts is normal. */
    static final double MIN_HARMED_FRACTION = 0.05;
    /** The minimum ratio of the harmed fractions, exposed to control. */
    private static final double MIN_HARM_RATIO = 2;

    private static final double SIGNIFICANCE_LEVEL = 0.01;
    /**
     * If the ratio of run time to cost hint exceeds the baseline by this factor, something else slows requests down.
     */
    private static final double SLOWDOWN_FACTOR = 1.5;
    /** Keeps the sum of two counts within the range of an int. */
    private static final int MAX_COUNT = Integer.MAX_VALUE / 4;

    /** Attempts of other tenants, and how many of them were harmed. */
    private record Sample(double attempts, double harmed) {
        double harmedFraction() {
            return harmed / attempts;
        }

        int attemptCount() {
            return (int) Math.min(MAX_COUNT, Math.round(attempts));
        }

        int harmedCount() {
            return (int) Math.min(attemptCount(), Math.round(harmed));
        }
    }

    private HarmAnalysis() {}

    /**
     * Whether other tenants' requests run much longer relative to their cost hints than in the baseline, for example
     * because of a slow dependency.
     */
    static boolean isSlowedByOtherCause(UsageReport usage, UncontendedBaseline baseline) {
        return baseline.hintedMillis() > 0
                && usage.hintedMillis() > 0
                && usage.runMillis() / (double) usage.hintedMillis()
                        > SLOWDOWN_FACTOR * baseline.runMillis() / baseline.hintedMillis();
    }

    /**
     * Whether other tenants are harmed significantly more often on endpoints where the tenant exceeds its quota than on
     * the other endpoints. If there are too few attempts on the others, the baseline is used instead.
     *
     * @param isolatedEndpoints hashes of endpoints that are dedicated to other tenants
     */
    static boolean isAttributable(
            UsageReport usage, UncontendedBaseline baseline, double quota, Set<Integer> isolatedEndpoints) {
        long exposedAttempts = 0;
        long exposedHarmed = 0;
        long unexposedAttempts = 0;
        long unexposedHarmed = 0;
        for (Map.Entry<Integer, UsageReport.EndpointUsage> entry :
                usage.endpoints().entrySet()) {
            UsageReport.EndpointUsage endpoint =
                    isolatedEndpoints.contains(entry.getKey()) ? UsageReport.EndpointUsage.NONE : entry.getValue();
            if (endpoint.totalWork() > 0 && endpoint.tenantWork() > quota * endpoint.totalWork()) {
                exposedAttempts += endpoint.otherAttempts();
                exposedHarmed += endpoint.harmedAttempts();
            } else {
                unexposedAttempts += endpoint.otherAttempts();
                unexposedHarmed += endpoint.harmedAttempts();
            }
        }
        Sample exposed = new Sample(exposedAttempts, exposedHarmed);
        Sample control = unexposedAttempts < MIN_ATTEMPTS
                ? new Sample(baseline.otherAttempts(), baseline.harmedAttempts())
                : new Sample(unexposedAttempts, unexposedHarmed);
        return isClearlyHigher(exposed, control) && isSignificant(exposed, control);
    }

    private static boolean isClearlyHigher(Sample exposed, Sample control) {
        return exposed.attempts() >= MIN_ATTEMPTS
                && control.attempts() >= MIN_ATTEMPTS
                && exposed.harmed() >= MIN_HARMED_FRACTION * exposed.attempts()
                && exposed.harmedFraction() >= MIN_HARM_RATIO * control.harmed() / control.attempts();
    }

    /**
     * Fisher's exact test, one-sided: computes the probability of at least this many harmed attempts in the exposed
     * sample if the tenant had no influence.
     */
    private static boolean isSignificant(Sample exposed, Sample control) {
        int exposedCount = exposed.attemptCount();
        int exposedHarmed = exposed.harmedCount();
        return HypergeometricDistribution.of(
                                control.attemptCount() + exposedCount,
                                control.harmedCount() + exposedHarmed,
                                exposedCount)
                        .survivalProbability(exposedHarmed - 1)
                < SIGNIFICANCE_LEVEL;
    }
}
