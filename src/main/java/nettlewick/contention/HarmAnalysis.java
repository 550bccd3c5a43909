package nettlewick.contention;

import java.util.Map;
import java.util.Set;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;

/**
 * Whether other tenants' attempts are harmed more often where a tenant is busy than where, or when, it is not.
 * Stateless.
 */
final class HarmAnalysis {
    /** Attempts of other tenants that a comparison needs on each side. */
    private static final int MIN_ATTEMPTS = 20;
    /** Harm below this fraction of attempts is normal. */
    static final double MIN_HARMED_FRACTION = 0.05;
    /** How many times more often attempts must be harmed beside the tenant. */
    private static final double MIN_HARM_RATIO = 2;

    private static final double SIGNIFICANCE_LEVEL = 0.01;
    /** Others' requests that run so many times longer against their hints than usual are slowed by another cause. */
    private static final double SLOWDOWN_FACTOR = 1.5;
    /** Keeps sums of two counts within an int. */
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

    /** Whether all requests run much longer than their hints say, compared with the baseline. */
    static boolean isSlowedByOtherCause(UsageReport usage, UncontendedBaseline baseline) {
        return baseline.hintedMillis() > 0
                && usage.hintedMillis() > 0
                && usage.runMillis() / (double) usage.hintedMillis()
                        > SLOWDOWN_FACTOR * baseline.runMillis() / baseline.hintedMillis();
    }

    /**
     * Whether other tenants are harmed significantly more often on endpoints where the tenant exceeds its quota than
     * on the rest, or, where the rest is too small a sample, than in the baseline.
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

    /** Fisher's exact test, one-sided: the probability of this much harm beside the tenant if it made no difference. */
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
