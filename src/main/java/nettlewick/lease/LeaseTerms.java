package nettlewick.lease;

/**
 * What all dispatchers of a tier agree on.
 *
 * @param lease milliseconds that a grant lasts
 * @param drift by which part two clocks' rates may differ at most
 */
record LeaseTerms(double leaseMillis, double maxClockDrift) {
    int majorityOf(int voters) {
        return voters / 2 + 1;
    }

    /** For how long a holder may count on a grant, from before it asked. */
    double holderLeaseMillis() {
        return leaseMillis * (1 - maxClockDrift);
    }
}
