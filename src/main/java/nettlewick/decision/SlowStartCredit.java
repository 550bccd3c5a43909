package nettlewick.decision;

/** Credit for sending work to an endpoint that is warming up, in slot-seconds. */
final class SlowStartCredit {
    private double balance;
    private long updatedAt;

    /** Starts anew; a balance below 0 is a debt that accrues before the first request. */
    void reset(double initialBalance, long now) {
        balance = initialBalance;
        updatedAt = now;
    }

    /** Adds what {@code rate} slots have earned since the last call, up to {@code maxBalance}. */
    void accrue(double rate, double maxBalance, long now) {
        balance = Math.min(balance + rate * (now - updatedAt) / 1e9, maxBalance);
        updatedAt = now;
    }

    void spend(double slotSeconds) {
        balance -= slotSeconds;
    }

    boolean isPositive() {
        return balance > 0;
    }
}
