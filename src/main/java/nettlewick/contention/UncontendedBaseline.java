package nettlewick.contention;

/**
 * How other tenants' attempts fared on one dispatcher in windows in which a tenant kept to its quota. Older windows
 * count less.
 *
 * @param otherAttempts  attempts of all other tenants
 * @param harmedAttempts those of them that were harmed
 * @param runMillis      how long their requests ran, where a cost hint came with them
 * @param hintedMillis   what the cost hints said
 */
public record UncontendedBaseline(double otherAttempts, double harmedAttempts, double runMillis, double hintedMillis) {
    /** No observations. */
    static final UncontendedBaseline NONE = new UncontendedBaseline(0, 0, 0, 0);

    private static final double DECAY_PER_WINDOW = 0.97;

    /** This baseline with one more window, or unchanged if the tenant was over its quota in it. */
    UncontendedBaseline withWindow(UsageReport window, int tenantHash, double quota) {
        if (window.totalWork() <= 0 || TenantDemand.isOverQuota(window, tenantHash, quota)) {
            return this;
        }
        UsageReport.EndpointUsage usage = window.acrossEndpoints();
        return new UncontendedBaseline(
                otherAttempts * DECAY_PER_WINDOW + usage.otherAttempts(),
                harmedAttempts * DECAY_PER_WINDOW + usage.harmedAttempts(),
                runMillis * DECAY_PER_WINDOW + window.runMillis(),
                hintedMillis * DECAY_PER_WINDOW + window.hintedMillis());
    }

    UncontendedBaseline plus(UncontendedBaseline other) {
        return new UncontendedBaseline(
                otherAttempts + other.otherAttempts,
                harmedAttempts + other.harmedAttempts,
                runMillis + other.runMillis,
                hintedMillis + other.hintedMillis);
    }

    /** Whether the figures can have been counted: finite, not negative, no more harmed than there were. */
    boolean isValid() {
        return otherAttempts >= harmedAttempts
                && harmedAttempts >= 0
                && runMillis >= 0
                && hintedMillis >= 0
                && Double.isFinite(otherAttempts + runMillis + hintedMillis);
    }
}
