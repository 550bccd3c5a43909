package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import nettlewick.stubs.EndpointModel;

/** What clients, endpoints and signals did in a soak, as they saw it. Safe for any thread; times in milliseconds. */
final class SoakJournal {
    /** How a request ended for its client. */
    enum End {
        /** No end yet, or none in the time in which its client waited. */
        NONE,
        ANSWERED,
        /** The connection ended without a byte of an answer. */
        CLOSED,
        /** The connection ended in the middle of an answer. */
        CUT_OFF,
        /** The client closed its connection before an answer came. */
        LEFT,
        /** The connection ended before the request was written whole. */
        UNSENT
    }

    /** An attempt that came whole to an endpoint. */
    record Arrival(String runner, EndpointModel.Admission taken, double at, double toldMillis) {}

    /** One request. Its client writes it, endpoints add to {@code arrivals} and {@code runs}. */
    static final class Entry {
        private final String id;
        private final SoakPlan.RequestClassPlan requestClass;
        private final int dispatcher;
        private final int incarnation;
        private final String connection;
        private final boolean isFirstOnConnection;
        private final Collection<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        private final Collection<Double> runs = new ConcurrentLinkedQueue<>();
        private volatile double sentAt = Double.NaN;
        private volatile double endedAt = Double.NaN;
        private volatile End end = End.NONE;
        private volatile int status;
        private volatile String head = "";
        private volatile String body = "";

        Entry(
                String id,
                SoakPlan.RequestClassPlan requestClass,
                int dispatcher,
                int incarnation,
                String connection,
                boolean isFirstOnConnection) {
            this.id = id;
            this.requestClass = requestClass;
            this.dispatcher = dispatcher;
            this.incarnation = incarnation;
            this.connection = connection;
            this.isFirstOnConnection = isFirstOnConnection;
        }

        String id() {
            return id;
        }

        SoakPlan.RequestClassPlan requestClass() {
            return requestClass;
        }

        int dispatcher() {
            return dispatcher;
        }

        int incarnation() {
            return incarnation;
        }

        boolean isFirstOnConnection() {
            return isFirstOnConnection;
        }

        Collection<Arrival> arrivals() {
            return arrivals;
        }

        Collection<Double> runs() {
            return runs;
        }

        /** When its last byte was written; NaN if it was not. */
        double sentAt() {
            return sentAt;
        }

        double dueAt() {
            return sentAt + requestClass.deadlineMillis();
        }

        double endedAt() {
            return endedAt;
        }

        End end() {
            return end;
        }

        int status() {
            return status;
        }

        String head() {
            return head;
        }

        String body() {
            return body;
        }

        void sent(double now) {
            sentAt = now;
        }

        void ended(End how, double now) {
            end = how;
            endedAt = now;
        }

        void answered(int answerStatus, String answerHead, String answerBody, double now) {
            status = answerStatus;
            head = answerHead;
            body = answerBody;
            ended(End.ANSWERED, now);
        }

        void arrived(Arrival arrival) {
            arrivals.add(arrival);
        }

        void ran(double now) {
            runs.add(now);
        }

        @Override
        public String toString() {
            return String.format(
                    "%s %s on %s%s: sent %.1f, due %.1f, %s %s at %.1f, arrivals %s, runs %s",
                    id,
                    requestClass.name(),
                    connection,
                    isFirstOnConnection ? " (first)" : "",
                    sentAt,
                    dueAt(),
                    end,
                    status == 0 ? "" : status + " " + head.replace("\r\n", "|"),
                    endedAt,
                    arrivals,
                    runs);
        }
    }

    /** One process of a dispatcher: when it was started, ready, told to end, killed, and gone; NaN for never. */
    static final class Incarnation {
        private final int dispatcher;
        private final int number;
        private final double startedAt;
        private volatile double readyAt = Double.NaN;
        private volatile double termAt = Double.NaN;
        private volatile double killDueAt = Double.NaN;
        private volatile double killedAt = Double.NaN;
        private volatile double exitedAt = Double.NaN;
        private volatile int exitCode;

        Incarnation(int dispatcher, int number, double startedAt) {
            this.dispatcher = dispatcher;
            this.number = number;
            this.startedAt = startedAt;
        }

        int dispatcher() {
            return dispatcher;
        }

        int number() {
            return number;
        }

        double startedAt() {
            return startedAt;
        }

        double readyAt() {
            return readyAt;
        }

        double termAt() {
            return termAt;
        }

        double killDueAt() {
            return killDueAt;
        }

        double killedAt() {
            return killedAt;
        }

        double exitedAt() {
            return exitedAt;
        }

        void ready(double now) {
            readyAt = now;
        }

        void told(double now, double killAt) {
            termAt = now;
            killDueAt = killAt;
        }

        void killed(double now) {
            killedAt = now;
        }

        void exited(double now, int code) {
            exitCode = code;
            exitedAt = now;
        }

        @Override
        public String toString() {
            return String.format(
                    "n%d.%d started %.0f, ready %.0f, SIGTERM %.1f, SIGKILL due %.1f, sent %.1f, exited %.1f (code %d)",
                    dispatcher, number, startedAt, readyAt, termAt, killDueAt, killedAt, exitedAt, exitCode);
        }
    }

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final Map<Integer, List<Incarnation>> incarnations = new ConcurrentHashMap<>();
    /** When discovery had told a dispatcher of a drain, by the dispatcher's number and the endpoint's name. */
    private final Map<String, Double> drainsTold = new ConcurrentHashMap<>();

    private final Collection<String> unknownIds = new ConcurrentLinkedQueue<>();

    Entry begin(Entry entry) {
        entries.put(entry.id(), entry);
        return entry;
    }

    Collection<Entry> entries() {
        return entries.values();
    }

    Collection<String> unknownIds() {
        return unknownIds;
    }

    void arrived(String id, Arrival arrival) {
        Entry entry = entries.get(id);
        if (entry == null) {
            unknownIds.add(id);
        } else {
            entry.arrived(arrival);
        }
    }

    void ran(String id, double now) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.ran(now);
        }
    }

    void drainTold(int dispatcher, String runner, double now) {
        drainsTold.putIfAbsent(dispatcher + " " + runner, now);
    }

    /** When that dispatcher was told that the endpoint drains; NaN if it was not. */
    double drainToldAt(int dispatcher, String runner) {
        return drainsTold.getOrDefault(dispatcher + " " + runner, Double.NaN);
    }

    Incarnation started(int dispatcher, double now) {
        List<Incarnation> all = incarnations.computeIfAbsent(dispatcher, d -> new ArrayList<>());
        synchronized (all) {
            Incarnation incarnation = new Incarnation(dispatcher, all.size(), now);
            all.add(incarnation);
            return incarnation;
        }
    }

    /** The latest process of a dispatcher. */
    Incarnation latest(int dispatcher) {
        List<Incarnation> all = incarnations.get(dispatcher);
        synchronized (all) {
            return all.get(all.size() - 1);
        }
    }

    Incarnation incarnation(int dispatcher, int number) {
        List<Incarnation> all = incarnations.get(dispatcher);
        synchronized (all) {
            return all.get(number);
        }
    }

    List<Incarnation> allIncarnations() {
        List<Incarnation> all = new ArrayList<>();
        for (List<Incarnation> ofOne : incarnations.values()) {
            synchronized (ofOne) {
                all.addAll(ofOne);
            }
        }
        return all;
    }
}
