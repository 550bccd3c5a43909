package nettlewick.tenantpools;

/** How the provider answered a request. */
sealed interface ProviderAnswer {
    /** The request was carried out. */
    record Reported(ProviderReport report) implements ProviderAnswer {}

    /** The instances have changed since the report that a resize was based on. */
    record VersionConflict() implements ProviderAnswer {}

    /**
     * Another lease holder has sent a request under a higher fence.
     *
     * @param highestFence the highest that the provider has seen
     */
    record Fenced(long highestFence) implements ProviderAnswer {}

    /**
     * The provider is overloaded.
     *
     * @param delayMillis how long it asks to wait; 0 if it did not say
     */
    record RetryLater(double delayMillis) implements ProviderAnswer {}

    /** There was no answer in time, or none that can be read. */
    record NoAnswer() implements ProviderAnswer {}
}
