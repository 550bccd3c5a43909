package nettlewick.tenantpools;

import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/** What a lease holder does next about a tenant's added endpoints. */
sealed interface ScaleOutDecision {
    /** There is nothing to do. */
    record NoAction() implements ScaleOutDecision {}

    /** The provider must be asked for a new report. */
    record FetchReport() implements ScaleOutDecision {}

    /** A new budget must be stored in the lease's state before anything else. */
    record StoreBudget(Budget budget) implements ScaleOutDecision {}

    /**
     * The pending resize must be sent to the provider.
     *
     * @param notAfterMillis until when, on the provider's clock, the calculation behind it holds
     */
    record Resize(ResizeRequest request, long notAfterMillis) implements ScaleOutDecision {}
}
