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
        boolean ready;
        boolean near;
        /** Last load report: when it came, and what it said. */
        long answeredAt = NEVER;

        double free;
        double waiting;
        double memory;
        /** The last report proves that nothing waits. */
        boolean queueEmpty;
        /** Its reports tell how many wait. */
        boolean queueTold;
        /** Slots that are left but for what is known to be sent here, smoothed over reports. */
        double left;

        long leftAt = NEVER;
        long fullAt = NEVER;
        boolean asked;
        final List<Attempt> out = new ArrayList<>();
        double outSlots;
        /** Slots that peers hold here, by their last notes. */
        double others;
        /** Slots known to be in work at the last beats, each at its beat's number modulo the length. */
        private final double[] outBefore = new double[16];

        long signAt = NEVER;
        int strikes;
        /** When the latest of the attempts that have started was sent. */
        long startedSent = NEVER;
        /** How much longer than hinted its jobs run: the logarithm's mean over the last few. */
        final Mean drag = new Mean(6);
        /** Connections to it that broke in a row. */
        int failures;

        long shunnedUntil = NEVER;
        double coldTokens;
        long coldAt;

        Endpoint(String id) {
            this.id = id;
        }

        /** A process that started anew knows nothing of the load and the troubles of its last life. */
        void forget() {
            answeredAt = NEVER;
            leftAt = NEVER;
            fullAt = NEVER;
            shunnedUntil = NEVER;
            strikes = 0;
            failures = 0;
            startedSent = NEVER;
            drag.count = 0;
        }

        /** Takes a report over in slots, whichever values this site's reports hold. */
        void report(EndpointLoad load, long now, Pool kind, Needs most) {
            answeredAt = now;
            memory = Double.isNaN(load.freeMemory()) ? Double.MAX_VALUE : load.freeMemory();
            double held = Double.isNaN(load.inHand()) ? 0 : load.inHand();
            boolean queue = !Double.isNaN(load.waiting());
            if (!Double.isNaN(load.freeSlots())) {
                free = load.freeSlots();
            } else if (queue) {
                free = load.waiting() < 1 ? 1 : 0;
            } else if (!Double.isNaN(load.busyShare())) {
                free = load.busyShare() < 1 ? 1 / Math.max(load.busyShare(), 0.01) : 0;
            } else {
                free = 1 / (1 + held);
            }
            kind.slots = free >= 1 ? Math.max(kind.slots, free + held) : kind.slots;
            waiting = queue ? load.waiting() : free >= 1 ? 0 : Math.max(0, held - kind.slots);
            // Danger: a report without a queue says nothing of it. The first that waits may be a job that
            // does not fit while slots are free; only room for any job proves that none waits.
            queueTold = queue;
            queueEmpty = queue ? waiting < 0.5 : free >= most.slots && memory >= most.memory;
        }

        void sent(Attempt a) {
            out.add(a);
            outSlots += a.job.arrival.slots();
        }

        void ended(Attempt a) {
            out.remove(a);
            lose(a);
        }

        /** Danger: an attempt that is lost holds no slot here; counted on, it would until its deadline. */
        void lose(Attempt a) {
            outSlots -= a.lost ? 0 : a.job.arrival.slots();
            a.lost = true;
        }

        /** Remembers the slots known to be in work at this beat. */
        void tick(int beat) {
            outBefore[beat % outBefore.length] = outSlots + others;
        }

        double outAt(int beat) {
            return outBefore[Math.floorMod(beat, outBefore.length)];
        }
    }

    /** The most that one job was seen to need here. */
    static final class Needs {
        double slots = 1;
        double memory;

        void add(Arrival a) {
            slots = Math.max(slots, a.slots());
            memory = Math.max(memory, a.memory());
        }
    }

    /** One sending of a job. */
    static final class Attempt {
        final ScheduledRequest job;
        final Endpoint worker;
        final int number;
        final long sentAt;
        boolean over;
        boolean neverRan;
        boolean rescued;
        /** It takes no slot, or no longer. */
        boolean lost;
        /** When the worker said that the job runs. */
        long startedAt = NEVER;
        /** Its last sign of life. */
        long signAt = NEVER;
        /** Room was seen when it was sent. */
        boolean roomy;
        /** How long it was foretold to wait where none was seen, in nanoseconds. */
        double foretold;

        Attempt(ScheduledRequest request, Endpoint endpoint, int number, long sentAt) {
            this.job = request;
            this.worker = endpoint;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    /** A client's request until its final answer and its last outcome. */
    static final class ScheduledRequest {
        final Arrival arrival;
        final RequestClass kind;
        final int index;
        final TenantCredit tenure;
        final long arrivedAt;
        final long deadline;
        final double cost;
        boolean over;
        boolean streaming;
        final List<Attempt> attempts = new ArrayList<>(2);

        ScheduledRequest(Arrival arrival, RequestClass kind, int index, TenantCredit tenure, long now) {
            this.arrival = arrival;
            this.kind = kind;
            this.index = index;
            this.tenure = tenure;
            arrivedAt = now;
            deadline = now + arrival.remaining();
            cost = arrival.slots() * (arrival.costHint() > 0 ? arrival.costHint() / 1e9 : 1);
        }

        /** Worth of a slot that the job takes. */
        double density() {
            return kind.priorityWeight() / Math.max(arrival.slots(), 1e-3);
        }

        int out() {
            int n = 0;
            for (Attempt a : attempts) {
                n += a.over ? 0 : 1;
            }
            return n;
        }

        boolean wasAt(Endpoint endpoint) {
            for (Attempt a : attempts) {
                if (a.worker == endpoint) {
                    return true;
                }
            }
            return false;
        }

        /** The first attempt that ran, may have run or may run yet; null if none. */
        Attempt firstThatMayHaveRun() {
            for (Attempt a : attempts) {
                if (!a.over || !a.neverRan) {
                    return a;
                }
            }
            return null;
        }
    }

    /** The workers that may run a class: all that are ready, and the small pool that is probed. */
    static final class Pool {
        final int kind;
        List<Endpoint> ready = new ArrayList<>();
        List<Endpoint> near = new ArrayList<>();
        List<Endpoint> far = new ArrayList<>();
        int zones;
        List<Endpoint> members = new ArrayList<>();
        /** Hash places of the ready workers, of all and of the own zone. */
        final HashRing<Endpoint> ring = new HashRing<>();

        final HashRing<Endpoint> nearRing = new HashRing<>();
        private final Set<Endpoint> onRing = new LinkedHashSet<>();
        /** Work finished for this dispatcher since the last Δ, and a warm worker's part of it a second. */
        double served;

        double carried;
        /** How often that was measured. */
        int measures;
        /** How much longer than hinted jobs run on this kind: the logarithm's mean. */
        final Mean drag = new Mean(100);
        /** What jobs waited here against what was foretold. */
        final Waits waits = new Waits();
        /** Most free slots that a worker of the kind was seen to have. */
        double slots;

        Pool(int kind) {
            this.kind = kind;
        }

        /** Sorts out who of these is ready and of the kind. */
        void refill(Collection<Endpoint> endpoints, int ringPlaces) {
            ready = endpoints.stream()
                    .filter(endpoint -> endpoint.ready && (kind < 0 || endpoint.kind == kind))
                    .toList();
            near = ready.stream().filter(endpoint -> endpoint.near).toList();
            far = ready.stream().filter(endpoint -> !endpoint.near).toList();
            zones = (int) ready.stream()
                    .map(endpoint -> String.valueOf(endpoint.entry.zone()))
                    .distinct()
                    .count();
            // Danger: a growing fleet changes its list many times a second: only what changed is set.
            Set<Endpoint> stays = new LinkedHashSet<>(ready);
            for (Endpoint endpoint : stays) {
                if (onRing.add(endpoint)) {
                    set(endpoint, ringPlaces, true);
                }
            }
            onRing.removeIf(endpoint -> {
                boolean leaves = !stays.contains(endpoint);
                if (leaves) {
                    set(endpoint, ringPlaces, false);
                }
                return leaves;
            });
        }

        private void set(Endpoint endpoint, int ringPlaces, boolean on) {
            ring.set(endpoint.id, endpoint, ringPlaces, on);
            if (endpoint.near) {
                nearRing.set(endpoint.id, endpoint, ringPlaces, on);
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
        static double carried(List<TenantCredit> all, double level) {
            return all.stream()
                    .mapToDouble(t -> Math.min(t.demand, level * t.weight))
                    .sum();
        }

        /** The largest rate for its weight that any tenant gets from the slice. */
        static double fairShare(List<TenantCredit> all, double slice) {
            double high =
                    all.stream().mapToDouble(t -> t.demand / t.weight).max().orElse(0);
            if (carried(all, high) <= slice) {
                return high;
            }
            double low = 0;
            for (int i = 0; i < 40; i++) {
                double middle = (low + high) / 2;
                if (carried(all, middle) < slice) {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            return high;
        }
    }

    /** What is known of another dispatcher. */
    static final class Peer {
        int epoch;
        boolean binding;
        double augmented;
        double slice;
        long heardAt = NEVER;
        /** Number of the last gift taken, for each of its lives. */
        final Map<Integer, Integer> taken = new HashMap<>();

        int given;
        double pending;
        double inherited;

        /** True once for each gift, however often it comes. */
        boolean firstTaken(PeerMessage gift) {
            boolean first = gift.number() > taken.getOrDefault(gift.epoch(), 0);
            if (first) {
                taken.put(gift.epoch(), gift.number());
            }
            return first;
        }
    }

    /** How long jobs waited where a wait was foretold: the next is off by as much as the last ones were. */
    static final class Waits {
        /** So many foretold waits weigh as much as believing them as they are. */
        private static final double BELIEVED = 5;

        private static final double MOST = 8;
        private final Mean foretold = new Mean();
        private final Mean waited = new Mean();

        void add(double told, double was) {
            foretold.add(told);
            waited.add(was);
        }

        double factor() {
            double n = foretold.count;
            double factor = n == 0 ? 1 : waited.value / Math.max(foretold.value, 1);
            return Math.min(MOST, (n * factor + BELIEVED) / (n + BELIEVED));
        }
    }

    /** A mean over all at first, over about the last fifty, or another number, later. */
    static final class Mean {
        private final int most;
        double value;
        double count;

        Mean() {
            this(50);
        }

        Mean(int most) {
            this.most = most;
        }

        void add(double x) {
            count = Math.min(count + 1, most);
            value += (x - value) / count;
        }
    }
}
