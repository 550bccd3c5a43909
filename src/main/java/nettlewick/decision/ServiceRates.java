package nettlewick.decision;

/** Work accepted, lost and served by this dispatcher, as rates in slots, smoothed over share intervals. */
final class ServiceRates {
    /** Requests over which rates are measured where fewer than half of them come in an interval. */
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

    /** Takes back what was accepted and got no answer. */
    void recordLost(double slotSeconds) {
        lost += slotSeconds;
    }

    void recordServed(double slotSeconds) {
        served += slotSeconds;
    }

    /** Smooths the rates over the interval that ends now; with few requests, over more intervals. */
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

    /** Rate of what was accepted and not lost. */
    double netAcceptedRate() {
        return netAcceptedRate;
    }

    /** Rate of all that was accepted. */
    double grossAcceptedRate() {
        return grossAcceptedRate;
    }

    double servedRate() {
        return servedRate;
    }
}
