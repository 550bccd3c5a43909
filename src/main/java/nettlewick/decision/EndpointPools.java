package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The pools of endpoints by kind, those of tenants with dedicated endpoints, and who may use which. */
final class EndpointPools {
    private static final int VIRTUAL_NODES = 20;

    /** By kind, from -1 (endpoints of any kind) on. */
    private final List<EndpointPool> byKind = new ArrayList<>();
    /** Null where no tenant has dedicated endpoints. */
    private DedicatedEndpoints dedicated;

    EndpointPools(int kinds) {
        for (int kind = -1; kind < kinds; kind++) {
            byKind.add(new EndpointPool(kind));
        }
    }

    /** Replaces all tenants' dedicated endpoints; takes effect with the next {@link #rebuild}. */
    void assign(List<PoolAssignment> assignments) {
        dedicated = assignments.isEmpty() ? null : new DedicatedEndpoints(assignments);
    }

    /** Sorts the endpoints into the pools: which are for all, and which for one tenant. */
    void rebuild(Collection<Endpoint> endpoints) {
        Collection<Endpoint> shared = withoutExclusive(endpoints);
        byKind.forEach(pool -> pool.rebuild(shared, VIRTUAL_NODES));
        if (dedicated != null) {
            dedicated.rebuild(endpoints, byKind, VIRTUAL_NODES);
        }
    }

    /** The common pool of a kind, or of all kinds for -1. */
    EndpointPool ofKind(int kind) {
        return byKind.get(kind + 1);
    }

    /** The ready endpoints of any kind that are for all tenants. */
    List<Endpoint> ready() {
        return ofKind(-1).ready();
    }

    /** What was measured at endpoints of the same kind. */
    EndpointKindStats statsFor(Endpoint endpoint) {
        return ofKind(endpoint.kind()).stats();
    }

    /** The common pools, one a kind. */
    List<EndpointPool> shared() {
        return byKind;
    }

    /** The common pools, and those of tenants with dedicated endpoints. */
    List<EndpointPool> all() {
        return dedicated == null ? byKind : dedicated.appendTo(byKind);
    }

    /** The pool that the request's endpoint is chosen from. */
    EndpointPool candidates(ScheduledRequest request) {
        EndpointPool shared = ofKind(request.requestClass().kind());
        return dedicated == null ? shared : dedicated.poolFor(request.arrival().tenant(), shared);
    }

    /** Whether the request may use its tenant's dedicated endpoints only. */
    boolean isConfined(ScheduledRequest request) {
        return dedicated != null && dedicated.isConfined(request.arrival().tenant());
    }

    /** Those of the endpoints that are for all tenants. */
    Collection<Endpoint> withoutExclusive(Collection<Endpoint> endpoints) {
        return dedicated == null ? endpoints : dedicated.withoutExclusive(endpoints);
    }
}
