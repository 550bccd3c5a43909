package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.StringJoiner;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Everything that one soak of rolling restarts draws from its seed. Times are in milliseconds; points in time count
 * from the beginning of the load. Performs no I/O.
 *
 * @param restarts the planned restarts, in order of their SIGTERM
 * @param hungEndpoints endpoints that accept requests but answer none during {@code hang}
 * @param drainedEndpoint an endpoint that begins to drain at {@code drainAt}
 * @param idleConnections idle connections to each dispatcher while discovery is silent; 0 for none
 */
record SoakPlan(
        long seed,
        int dispatchers,
        int endpoints,
        List<RequestClassPlan> classes,
        List<ClientPlan> clients,
        List<Restart> restarts,
        List<Integer> hungEndpoints,
        Span hang,
        int drainedEndpoint,
        double drainAt,
        int idleConnections,
        Span idleConnectionsSpan) {

    /** How a client uses its connections. */
    enum ClientKind {
        /** Sends one request after another on a persistent connection. */
        KEEP_ALIVE,
        /** Sends several requests at once on a persistent connection. */
        PIPELINING,
        /** Stays idle for long between requests on one connection. */
        IDLE_BETWEEN_REQUESTS,
        /** Pauses in the middle of each request. */
        SLOW,
        /** Sometimes closes its connection while its request is in flight. */
        DISCONNECTING,
        /** Opens a connection for each request. */
        NEW_CONNECTION
    }

    /** A request class with its deadline and the mean time that its requests run. */
    record RequestClassPlan(String name, double deadlineMillis, double meanWorkMillis) {
        boolean isIdempotent() {
            return name.equals("step-view");
        }

        boolean isKeyed() {
            return name.equals("save-run");
        }
    }

    /** A client; {@code pauseMillis} is its mean pause, if it pauses. */
    record ClientPlan(ClientKind kind, int requestClass, double pauseMillis) {}

    /** A time interval, including both ends. */
    record Span(double from, double to) {
        boolean contains(double time) {
            return time >= from && time <= to;
        }
    }

    /**
     * A planned restart of one dispatcher.
     *
     * @param acceptMillis how long after SIGTERM new connections still arrive
     * @param reloads when SIGHUP is sent, relative to SIGTERM; negative for before it
     * @param secondTermAfter how long after SIGTERM another one is sent; NaN for none
     */
    record Restart(int dispatcher, double termAt, double acceptMillis, List<Double> reloads, double secondTermAfter) {}

    /** The longest deadline that counts for the time from SIGTERM to SIGKILL. */
    private static final double MAX_COUNTED_DEADLINE_MILLIS = 3000;

    private static final double KILL_MARGIN_MILLIS = 700;
    private static final double WARM_UP_MILLIS = 1500;
    private static final int IDLE_CONNECTIONS = 150;
    private static final int RUN_KINDS = 3;

    static SoakPlan draw(long seed) {
        Random random = new Random(seed);
        // Discards the first draw, which is similar for consecutive seeds.
        random.nextLong();
        int dispatchers = 3 + random.nextInt(3);
        int endpoints = 4 + random.nextInt(3);
        List<RequestClassPlan> classes = drawClasses(random);
        List<ClientPlan> clients = drawClients(random, 10 + random.nextInt(9));
        List<Restart> restarts = drawRestarts(random, dispatchers);
        double lastTerm = restarts.get(restarts.size() - 1).termAt();
        boolean hangsThroughout = seed % RUN_KINDS == 1;
        Span hang = hangsThroughout
                ? new Span(WARM_UP_MILLIS - 100, lastTerm + MAX_COUNTED_DEADLINE_MILLIS + KILL_MARGIN_MILLIS)
                : spanOf(WARM_UP_MILLIS + random.nextDouble() * lastTerm, 300 + random.nextDouble() * 1500);
        List<Integer> endpointOrder = shuffled(random, endpoints);
        int hungCount = hangsThroughout ? 1 + random.nextInt(endpoints / 2) : 1;
        return new SoakPlan(
                seed,
                dispatchers,
                endpoints,
                classes,
                clients,
                restarts,
                endpointOrder.subList(0, hungCount),
                hang,
                endpointOrder.get(hungCount),
                WARM_UP_MILLIS + random.nextDouble() * lastTerm,
                seed % RUN_KINDS == 2 ? IDLE_CONNECTIONS : 0,
                spanOf(WARM_UP_MILLIS * random.nextDouble(), lastTerm / 2 + 500));
    }

    private static Span spanOf(double from, double length) {
        return new Span(from, from + length);
    }

    private static List<Integer> shuffled(Random random, int count) {
        List<Integer> all = new ArrayList<>(IntStream.range(0, count).boxed().toList());
        Collections.shuffle(all, random);
        return all;
    }

    private static List<RequestClassPlan> drawClasses(Random random) {
        // In half of the runs all deadlines are short, so that SIGKILL follows SIGTERM sooner.
        boolean isShort = random.nextBoolean();
        double maxDeadline = isShort ? 1000 : 3000;
        List<RequestClassPlan> classes = new ArrayList<>();
        for (String name : List.of("step-view", "save-run", "mark-submit")) {
            classes.add(new RequestClassPlan(
                    name, 300 + random.nextDouble() * (maxDeadline - 300), 3 + random.nextDouble() * 40));
        }
        if (!isShort) {
            int longest = random.nextInt(classes.size());
            RequestClassPlan requestClass = classes.get(longest);
            classes.set(
                    longest,
                    new RequestClassPlan(
                            requestClass.name(), 3000 + random.nextDouble() * 1000, requestClass.meanWorkMillis()));
        }
        return classes;
    }

    private static List<ClientPlan> drawClients(Random random, int count) {
        List<ClientPlan> clients = new ArrayList<>();
        ClientKind[] kinds = ClientKind.values();
        for (int i = 0; i < count; i++) {
            // The first clients cover each kind.
            ClientKind kind = i < kinds.length ? kinds[i] : kinds[random.nextInt(kinds.length)];
            double pause = switch (kind) {
                case IDLE_BETWEEN_REQUESTS -> 300 + random.nextDouble() * 2000;
                case SLOW -> 100 + random.nextDouble() * 800;
                default -> 5 + random.nextDouble() * 60;
            };
            clients.add(new ClientPlan(kind, random.nextInt(3), pause));
        }
        return clients;
    }

    private static List<Restart> drawRestarts(Random random, int dispatchers) {
        List<Restart> restarts = new ArrayList<>();
        double termAt = WARM_UP_MILLIS;
        for (int dispatcher : shuffled(random, dispatchers)) {
            List<Double> reloads = new ArrayList<>();
            int count = random.nextInt(4);
            for (int i = 0; i < count; i++) {
                reloads.add(Math.rint(random.nextDouble() * 600 - 250));
            }
            Collections.sort(reloads);
            restarts.add(new Restart(
                    dispatcher,
                    termAt,
                    200 + random.nextDouble() * 200,
                    reloads,
                    random.nextInt(3) == 0 ? 20 + random.nextDouble() * 500 : Double.NaN));
            termAt += 400 + random.nextDouble() * 1400;
        }
        return restarts;
    }

    /** Returns the shortest time from SIGTERM to SIGKILL. */
    double killDelayMillis() {
        double longest = classes.stream()
                .mapToDouble(RequestClassPlan::deadlineMillis)
                .max()
                .orElseThrow();
        return Math.min(longest, MAX_COUNTED_DEADLINE_MILLIS) + KILL_MARGIN_MILLIS;
    }

    /** Describes the plan in one line per item. */
    String describe() {
        StringJoiner lines = new StringJoiner("\n  ", "  ", "");
        lines.add("dispatchers " + dispatchers + ", endpoints " + endpoints + ", kill " + Math.round(killDelayMillis())
                + " ms after SIGTERM");
        classes.forEach(c -> lines.add(String.format(
                "class %s: deadline %.0f ms, work %.0f ms", c.name(), c.deadlineMillis(), c.meanWorkMillis())));
        lines.add(
                "clients: " + clients.stream().collect(Collectors.groupingBy(ClientPlan::kind, Collectors.counting())));
        restarts.forEach(r -> lines.add(String.format(
                "SIGTERM to n%d at %.0f ms, new connections for %.0f ms, SIGHUP at %s, again after %.0f ms",
                r.dispatcher(), r.termAt(), r.acceptMillis(), r.reloads(), r.secondTermAfter())));
        lines.add(String.format("endpoints %s hang from %.0f to %.0f ms", hungEndpoints, hang.from(), hang.to()));
        lines.add(String.format("endpoint %d drains at %.0f ms", drainedEndpoint, drainAt));
        if (idleConnections > 0) {
            lines.add(String.format(
                    "%d idle connections to each, discovery silent, from %.0f to %.0f ms",
                    idleConnections, idleConnectionsSpan.from(), idleConnectionsSpan.to()));
        }
        return lines.toString();
    }
}
