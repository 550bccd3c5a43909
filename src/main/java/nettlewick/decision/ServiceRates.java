package nettlewick.decision;

/** Rates, in slots, of the work that this dispatcher accepts, loses and serves, smoothed over share intervals. */
final class ServiceRates {
    /** Requests over which rates are smoothed if fewer than half as many arrive in an interval. */
    private static final double MEASURED_REQUESTS = 20;

    private static final double MAX_GAIN = 0.5;
    private static final double MIN_GAIN = 0.1;

    private double accepted;
    private double lost;
    private double served;
    private double arrivals;
    private double netAcceptedRate;
    private double grossAcceptedRate;
    private double servedRate;

    void recordArrival() {
        arrivals++;
    }

    void recordAccepted(double slotSeconds) {
        accepted += slotSeconds;
    }

    /** Records work that was accepted and got no answer. */
    void recordLost(double slotSeconds) {
        lost += slotSeconds;
    }

    void recordServed(double slotSeconds) {
        served += slotSeconds;
    }

    /** Updates the smoothed rates with the interval that ends now; with few requests, smoothing is stronger. */
    void closeInterval(double seconds) {
        double gain = Math.min(MAX_GAIN, Math.max(MIN_GAIN, arrivals / MEASURED_REQUESTS));
        arrivals = 0;
        servedRate += gain * (served / seconds - servedRate);
        grossAcceptedRate += gain * (accepted / seconds - grossAcceptedRate);
        netAcceptedRate += gain * (Math.max(0, accepted - lost) / seconds - netAcceptedRate);
        accepted = 0;
        lost = 0;
        served = 0;
    }

    /** Rate of work that was accepted and not lost. */
    double netAcceptedRate() {
        return netAcceptedRate;
    }

    /** Rate of all accepted work, including what was lost. */
    double grossAcceptedRate() {
        return grossAcceptedRate;
    }

    double servedRate() {
        return servedRate;
    }
}
