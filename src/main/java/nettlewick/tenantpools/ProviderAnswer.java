package nettlewick.tenantpools;

/** The outcome of a request to the provider. */
sealed interface ProviderAnswer {
    /** The request was carried out. */
    record Reported(ProviderReport report) implements ProviderAnswer {}

    /** The instances have changed since the report on which the resize was based. */
    record VersionConflict() implements ProviderAnswer {}

    /**
     * The request was rejected because another lease holder has sent one with a higher fence.
     *
     * @param highestFence the highest fence that the provider has seen
     */
    record Fenced(long highestFence) implements ProviderAnswer {}

    /**
     * The provider rejected the request because of overload.
     *
     * @param delayMillis the delay it asks for; 0 if it did not state one
     */
    record RetryLater(double delayMillis) implements ProviderAnswer {}

    /** No response arrived in time, or it could not be parsed. */
    record NoAnswer() implements ProviderAnswer {}
}
