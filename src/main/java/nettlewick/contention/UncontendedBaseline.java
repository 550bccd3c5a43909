package nettlewick.contention;

/**
 * Counts of other tenants' attempts on one dispatcher in windows in which a tenant stayed within its quota. Older
 * windows have exponentially decreasing weight.
 *
 * @param otherAttempts  attempts of all other tenants
 * @param harmedAttempts the number of these that were harmed
 * @param runMillis      the total run time of their requests that had a cost hint
 * @param hintedMillis   the sum of these cost hints
 */
public record UncontendedBaseline(double otherAttempts, double harmedAttempts, double runMillis, double hintedMillis) {
    /** No observations. */
    static final UncontendedBaseline NONE = new UncontendedBaseline(0, 0, 0, 0);

    private static final double DECAY_PER_WINDOW = 0.97;

    /**
     * Returns this baseline with one more window added, or unchanged if the tenant was over its quota in that window.
     */
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

    /** Whether the counts are plausible: finite, not negative, and no more harmed attempts than attempts. */
    boolean isValid() {
        return otherAttempts >= harmedAttempts
                && harmedAttempts >= 0
                && runMillis >= 0
                && hintedMillis >= 0
                && Double.isFinite(otherAttempts + runMillis + hintedMillis);
    }
}
