package nettlewick.decision;

/** Credit for sending work to an endpoint in slow start, in slot-seconds. */
final class SlowStartCredit {
    private double balance;
    private long updatedAt;

    /** Resets the balance; a negative one is a debt that must accrue before the first request is sent. */
    void reset(double initialBalance, long now) {
        balance = initialBalance;
        updatedAt = now;
    }

    /** Adds credit at {@code rate} slots for the time since the last call, up to {@code maxBalance}. */
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
