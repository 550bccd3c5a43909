package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The endpoint pools by kind and by tenant with dedicated endpoints, and which requests may use them. */
final class EndpointPools {
    private static final int VIRTUAL_NODES = 20;

    /** The shared pools, indexed by kind + 1; the first holds endpoints of any kind. */
    private final List<EndpointPool> byKind = new ArrayList<>();
    /** Null if no tenant has dedicated endpoints. */
    private DedicatedEndpoints dedicated;

    EndpointPools(int kinds) {
        for (int kind = -1; kind < kinds; kind++) {
            byKind.add(new EndpointPool(kind));
        }
    }

    /** Replaces all tenants' dedicated endpoints; takes effect at the next {@link #rebuild}. */
    void assign(List<PoolAssignment> assignments) {
        dedicated = assignments.isEmpty() ? null : new DedicatedEndpoints(assignments);
    }

    /** Rebuilds the shared pools and those of tenants from the endpoints. */
    void rebuild(Collection<Endpoint> endpoints) {
        Collection<Endpoint> shared = withoutExclusive(endpoints);
        byKind.forEach(pool -> pool.rebuild(shared, VIRTUAL_NODES));
        if (dedicated != null) {
            dedicated.rebuild(endpoints, byKind, VIRTUAL_NODES);
        }
    }

    /** The shared pool of a kind, or of all kinds for -1. */
    EndpointPool ofKind(int kind) {
        return byKind.get(kind + 1);
    }

    /** The ready endpoints of any kind that are not exclusive to a tenant. */
    List<Endpoint> ready() {
        return ofKind(-1).ready();
    }

    /** Measurements of the kind that the endpoint belongs to. */
    EndpointKindStats statsFor(Endpoint endpoint) {
        return ofKind(endpoint.kind()).stats();
    }

    /** The shared pools: one for all kinds, then one for each kind. */
    List<EndpointPool> shared() {
        return byKind;
    }

    /** The shared pools and those of tenants with dedicated endpoints. */
    List<EndpointPool> all() {
        return dedicated == null ? byKind : dedicated.appendTo(byKind);
    }

    /** The pool from which the request's endpoint is selected. */
    EndpointPool candidates(ScheduledRequest request) {
        EndpointPool shared = ofKind(request.requestClass().kindIndex());
        return dedicated == null ? shared : dedicated.poolFor(request.arrival().tenant(), shared);
    }

    /** Whether the request is restricted to its tenant's dedicated endpoints. */
    boolean isConfined(ScheduledRequest request) {
        return dedicated != null && dedicated.isConfined(request.arrival().tenant());
    }

    /** Returns the endpoints that are not exclusive to a tenant. */
    Collection<Endpoint> withoutExclusive(Collection<Endpoint> endpoints) {
        return dedicated == null ? endpoints : dedicated.withoutExclusive(endpoints);
    }
}
