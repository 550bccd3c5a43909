package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** What the decision module remembers. Plain data: decisions on it stand in {@link RequestScheduler}. */
final class State {
    /** A moment before all others. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private State() {}

    /** A worker as this dispatcher knows it. */
    static final class Endpoint {
        final String id;
        EndpointEntry entry;
        int kind;
        boolean isReady;
        boolean isLocal;
        /** Last load report: when it came, and what it said. */
        long reportedAt = NEVER;

        double freeSlots;
        double queuedSlots;
        double freeMemory;
        /** The last report proves that nothing waits. */
        boolean queueProvenEmpty;
        /** Its reports tell how many wait. */
        boolean reportsQueue;
        /** Slots that are left but for what is known to be sent here, smoothed over reports. */
        double smoothedFreeSlots;

        long smoothedAt = NEVER;
        long overloadedAt = NEVER;
        boolean probePending;
        final List<Attempt> inFlight = new ArrayList<>();
        double inFlightSlots;
        /** Slots that peers hold here, by their last notes. */
        double peerSlots;
        /** Slots known to be in work at the last beats, each at its beat's number modulo the length. */
        private final double[] slotHistory = new double[16];

        long lastSignAt = NEVER;
        int ejections;
        /** When the latest of the attempts that have started was sent. */
        long latestStartedSentAt = NEVER;
        /** How much longer than hinted its jobs run: the logarithm's mean over the last few. */
        final RunningMean slowdown = new RunningMean(6);
        /** Connections to it that broke in a row. */
        int connectionFailures;

        long ejectedUntil = NEVER;
        double slowStartCredit;
        long slowStartCreditAt;

        Endpoint(String id) {
            this.id = id;
        }

        /** A process that started anew knows nothing of the load and the troubles of its last life. */
        void resetAfterRestart() {
            reportedAt = NEVER;
            smoothedAt = NEVER;
            overloadedAt = NEVER;
            ejectedUntil = NEVER;
            ejections = 0;
            connectionFailures = 0;
            latestStartedSentAt = NEVER;
            slowdown.count = 0;
        }

        /** Takes a report over in slots, whichever values this site's reports hold. */
        void applyReport(EndpointLoad load, long now, EndpointPool kind, LargestRequest most) {
            reportedAt = now;
            freeMemory = Double.isNaN(load.freeMemory()) ? Double.MAX_VALUE : load.freeMemory();
            double held = Double.isNaN(load.inHand()) ? 0 : load.inHand();
            boolean queue = !Double.isNaN(load.waiting());
            if (!Double.isNaN(load.freeSlots())) {
                freeSlots = load.freeSlots();
            } else if (queue) {
                freeSlots = load.waiting() < 1 ? 1 : 0;
            } else if (!Double.isNaN(load.busyShare())) {
                freeSlots = load.busyShare() < 1 ? 1 / Math.max(load.busyShare(), 0.01) : 0;
            } else {
                freeSlots = 1 / (1 + held);
            }
            kind.mostFreeSlots = freeSlots >= 1 ? Math.max(kind.mostFreeSlots, freeSlots + held) : kind.mostFreeSlots;
            queuedSlots = queue ? load.waiting() : freeSlots >= 1 ? 0 : Math.max(0, held - kind.mostFreeSlots);
            // Danger: a report without a queue says nothing of it. The first that waits may be a job that
            // does not fit while slots are free; only room for any job proves that none waits.
            reportsQueue = queue;
            queueProvenEmpty = queue ? queuedSlots < 0.5 : freeSlots >= most.slots && freeMemory >= most.memory;
        }

        void recordSent(Attempt a) {
            inFlight.add(a);
            inFlightSlots += a.request.arrival.slots();
        }

        void recordEnded(Attempt a) {
            inFlight.remove(a);
            releaseLost(a);
        }

        /** Danger: an attempt that is lost holds no slot here; counted on, it would until its deadline. */
        void releaseLost(Attempt a) {
            inFlightSlots -= a.lost ? 0 : a.request.arrival.slots();
            a.lost = true;
        }

        /** Remembers the slots known to be in work at this beat. */
        void recordTick(int beat) {
            slotHistory[beat % slotHistory.length] = inFlightSlots + peerSlots;
        }

        double slotsAtTick(int beat) {
            return slotHistory[Math.floorMod(beat, slotHistory.length)];
        }
    }

    /** The most that one job was seen to need here. */
    static final class LargestRequest {
        double slots = 1;
        double memory;

        void include(Arrival a) {
            slots = Math.max(slots, a.slots());
            memory = Math.max(memory, a.memory());
        }
    }

    /** One sending of a job. */
    static final class Attempt {
        final ScheduledRequest request;
        final Endpoint endpoint;
        final int number;
        final long sentAt;
        boolean ended;
        boolean neverRan;
        boolean replaced;
        /** It takes no slot, or no longer. */
        boolean lost;
        /** When the worker said that the job runs. */
        long startedAt = NEVER;
        /** Its last sign of life. */
        long lastSignAt = NEVER;
        /** Room was seen when it was sent. */
        boolean sawFreeCapacity;
        /** How long it was foretold to wait where none was seen, in nanoseconds. */
        double predictedWaitNanos;

        Attempt(ScheduledRequest request, Endpoint endpoint, int number, long sentAt) {
            this.request = request;
            this.endpoint = endpoint;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    /** A client's request until its final answer and its last outcome. */
    static final class ScheduledRequest {
        final Arrival arrival;
        final RequestClass requestClass;
        final int classIndex;
        final TenantCredit tenantCredit;
        final long arrivedAt;
        final long deadline;
        final double cost;
        boolean answered;
        boolean streaming;
        final List<Attempt> attempts = new ArrayList<>(2);

        ScheduledRequest(Arrival arrival, RequestClass kind, int index, TenantCredit tenure, long now) {
            this.arrival = arrival;
            this.requestClass = kind;
            this.classIndex = index;
            this.tenantCredit = tenure;
            arrivedAt = now;
            deadline = now + arrival.remaining();
            cost = arrival.slots() * (arrival.costHint() > 0 ? arrival.costHint() / 1e9 : 1);
        }

        /** Worth of a slot that the job takes. */
        double priorityPerSlot() {
            return requestClass.priorityWeight() / Math.max(arrival.slots(), 1e-3);
        }

        int inFlightAttempts() {
            int n = 0;
            for (Attempt a : attempts) {
                n += a.ended ? 0 : 1;
            }
            return n;
        }

        boolean wasSentTo(Endpoint endpoint) {
            for (Attempt a : attempts) {
                if (a.endpoint == endpoint) {
                    return true;
                }
            }
            return false;
        }

        /** The first attempt that ran, may have run or may run yet; null if none. */
        Attempt firstPossiblyExecutedAttempt() {
            for (Attempt a : attempts) {
                if (!a.ended || !a.neverRan) {
                    return a;
                }
            }
            return null;
        }
    }

    /** The workers that may run a class: all that are ready, and the small pool that is probed. */
    static final class EndpointPool {
        final int kind;
        List<Endpoint> ready = new ArrayList<>();
        List<Endpoint> local = new ArrayList<>();
        List<Endpoint> remote = new ArrayList<>();
        int zoneCount;
        List<Endpoint> probed = new ArrayList<>();
        /** Hash places of the ready workers, of all and of the own zone. */
        final HashRing<Endpoint> ring = new HashRing<>();

        final HashRing<Endpoint> localRing = new HashRing<>();
        private final Set<Endpoint> ringMembers = new LinkedHashSet<>();
        /** Work finished for this dispatcher since the last Δ, and a warm worker's part of it a second. */
        double servedSlotSeconds;

        double carriedRate;
        /** How often that was measured. */
        int measurements;
        /** How much longer than hinted jobs run on this kind: the logarithm's mean. */
        final RunningMean slowdown = new RunningMean(100);
        /** What jobs waited here against what was foretold. */
        final WaitCalibration waitCalibration = new WaitCalibration();
        /** Most free slots that a worker of the kind was seen to have. */
        double mostFreeSlots;

        EndpointPool(int kind) {
            this.kind = kind;
        }

        /** Sorts out who of these is ready and of the kind. */
        void refill(Collection<Endpoint> endpoints, int ringPlaces) {
            ready = endpoints.stream()
                    .filter(endpoint -> endpoint.isReady && (kind < 0 || endpoint.kind == kind))
                    .toList();
            local = ready.stream().filter(endpoint -> endpoint.isLocal).toList();
            remote = ready.stream().filter(endpoint -> !endpoint.isLocal).toList();
            zoneCount = (int) ready.stream()
                    .map(endpoint -> String.valueOf(endpoint.entry.zone()))
                    .distinct()
                    .count();
            // Danger: a growing fleet changes its list many times a second: only what changed is set.
            Set<Endpoint> stays = new LinkedHashSet<>(ready);
            for (Endpoint endpoint : stays) {
                if (ringMembers.add(endpoint)) {
                    updateRings(endpoint, ringPlaces, true);
                }
            }
            ringMembers.removeIf(endpoint -> {
                boolean leaves = !stays.contains(endpoint);
                if (leaves) {
                    updateRings(endpoint, ringPlaces, false);
                }
                return leaves;
            });
        }

        private void updateRings(Endpoint endpoint, int ringPlaces, boolean on) {
            ring.place(endpoint.id, endpoint, ringPlaces, on);
            if (endpoint.isLocal) {
                localRing.place(endpoint.id, endpoint, ringPlaces, on);
            }
        }
    }

    /** A tenant's queue in the deficit round robin, kept virtually: credit instead of waiting jobs. */
    static final class TenantCredit {
        final double weight;
        double credit;
        double offered;
        double demand;

        TenantCredit(double weight) {
            this.weight = weight;
        }

        /** g(v): what all tenants carry when none gets more than {@code level} for its weight. */
        static double totalCarried(List<TenantCredit> all, double level) {
            return all.stream()
                    .mapToDouble(t -> Math.min(t.demand, level * t.weight))
                    .sum();
        }

        /** The largest rate for its weight that any tenant gets from the slice. */
        static double fairShare(List<TenantCredit> all, double slice) {
            double high =
                    all.stream().mapToDouble(t -> t.demand / t.weight).max().orElse(0);
            if (totalCarried(all, high) <= slice) {
                return high;
            }
            double low = 0;
            for (int i = 0; i < 40; i++) {
                double middle = (low + high) / 2;
                if (totalCarried(all, middle) < slice) {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            return high;
        }
    }

    /** What is known of another dispatcher. */
    static final class PeerState {
        int incarnation;
        boolean binding;
        double augmentedShare;
        double slice;
        long heardAt = NEVER;
        /** Number of the last gift taken, for each of its lives. */
        final Map<Integer, Integer> lastTransferByIncarnation = new HashMap<>();

        int transfersSent;
        double pendingAmount;
        double inheritedAmount;

        /** True once for each gift, however often it comes. */
        boolean recordTransfer(PeerMessage gift) {
            boolean first = gift.number() > lastTransferByIncarnation.getOrDefault(gift.incarnation(), 0);
            if (first) {
                lastTransferByIncarnation.put(gift.incarnation(), gift.number());
            }
            return first;
        }
    }

    /** How long jobs waited where a wait was foretold: the next is off by as much as the last ones were. */
    static final class WaitCalibration {
        /** So many foretold waits weigh as much as believing them as they are. */
        private static final double PRIOR_SAMPLES = 5;

        private static final double MAX_FACTOR = 8;
        private final RunningMean predicted = new RunningMean();
        private final RunningMean waited = new RunningMean();

        void add(double told, double was) {
            predicted.add(told);
            waited.add(was);
        }

        double factor() {
            double n = predicted.count;
            double factor = n == 0 ? 1 : waited.value / Math.max(predicted.value, 1);
            return Math.min(MAX_FACTOR, (n * factor + PRIOR_SAMPLES) / (n + PRIOR_SAMPLES));
        }
    }

    /** A mean over all at first, over about the last fifty, or another number, later. */
    static final class RunningMean {
        private final int maxSamples;
        double value;
        double count;

        RunningMean() {
            this(50);
        }

        RunningMean(int most) {
            this.maxSamples = most;
        }

        void add(double x) {
            count = Math.min(count + 1, maxSamples);
            value += (x - value) / count;
        }
    }
}
