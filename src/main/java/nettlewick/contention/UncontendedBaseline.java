package nettlewick.contention;

import java.nio.ByteBuffer;

/**
 * What a dispatcher saw in windows in which a member kept to its share there: what others' jobs were like
 * without it. Older windows count less. Pure.
 *
 * @param others attempts of all but this member
 * @param harmed those of them that were harmed
 * @param ran    how long others' jobs ran, in milliseconds
 * @param hinted what their hints said
 */
public record UncontendedBaseline(double otherAttempts, double harmedAttempts, double runMillis, double hintedMillis) {
    static final UncontendedBaseline NONE = new UncontendedBaseline(0, 0, 0, 0);
    static final int ENCODED_BYTES = 4 * Double.BYTES;
    private static final double DECAY_PER_WINDOW = 0.97;

    /** With one more window, if the member kept to its share in it. */
    UncontendedBaseline withWindow(UsageReport window, int tenantHash, double quota) {
        if (window.totalWork() <= 0 || ContentionEvidence.isOverQuota(window, tenantHash, quota)) {
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

    boolean isValid() {
        return otherAttempts >= harmedAttempts
                && harmedAttempts >= 0
                && runMillis >= 0
                && hintedMillis >= 0
                && Double.isFinite(otherAttempts + runMillis + hintedMillis);
    }

    void writeTo(ByteBuffer buffer) {
        buffer.putDouble(otherAttempts)
                .putDouble(harmedAttempts)
                .putDouble(runMillis)
                .putDouble(hintedMillis);
    }

    static UncontendedBaseline readFrom(ByteBuffer dispatcher) {
        return new UncontendedBaseline(
                dispatcher.getDouble(), dispatcher.getDouble(), dispatcher.getDouble(), dispatcher.getDouble());
    }
}
