package nettlewick.lease;

/**
 * The parameters on which all dispatchers of a tier have to agree.
 *
 * @param leaseMillis   how long a voter's grant lasts
 * @param maxClockDrift by which share the rates of two dispatchers' clocks differ at most
 */
record LeaseParameters(double leaseMillis, double maxClockDrift) {
    /** How many of this many voters are a majority. */
    int majorityOf(int voterCount) {
        return voterCount / 2 + 1;
    }

    /** How long a holder may rely on a grant, counted by its own clock from before it sent the request. */
    double holderLeaseMillis() {
        return leaseMillis * (1 - maxClockDrift);
    }
}
