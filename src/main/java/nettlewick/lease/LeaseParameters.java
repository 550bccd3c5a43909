package nettlewick.lease;

/**
 * The lease parameters, which must be the same on all dispatchers of a tier.
 *
 * @param leaseMillis   how long a voter's grant lasts
 * @param maxClockDrift the largest relative difference between the rates of two dispatchers' clocks
 */
record LeaseParameters(double leaseMillis, double maxClockDrift) {
    /** The number of voters that form a majority. */
    int majorityOf(int voterCount) {
        return voterCount / 2 + 1;
    }

    /** How long a holder may rely on a grant, measured on its own clock from the time the request was sent. */
    double holderLeaseMillis() {
        return leaseMillis * (1 - maxClockDrift);
    }
}
