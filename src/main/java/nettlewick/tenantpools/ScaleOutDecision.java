package nettlewick.tenantpools;

import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/** The next action of a lease holder for a tenant's added endpoints. */
sealed interface ScaleOutDecision {
    /** No action is needed. */
    record NoAction() implements ScaleOutDecision {}

    /** A new report must be fetched from the provider. */
    record FetchReport() implements ScaleOutDecision {}

    /** A new budget must be stored in the lease's state before any other action. */
    record StoreBudget(Budget budget) implements ScaleOutDecision {}

    /**
     * The pending resize must be sent to the provider.
     *
     * @param notAfterMillis the time on the provider's clock until which the underlying cost calculation is valid
     */
    record Resize(ResizeRequest request, long notAfterMillis) implements ScaleOutDecision {}
}
