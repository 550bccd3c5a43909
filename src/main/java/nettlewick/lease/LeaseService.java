package nettlewick.lease;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import nettlewick.lease.LeaseMessage.Outgoing;
import nettlewick.log.ComponentLogger;

/**
 * This dispatcher's part in all duties: a thread that owns a socket, a voter and seats, tells all what is
 * stored of a duty that it holds, and follows the others. What is done with a duty is its {@link LeaseTask}'s.
 */
public final class LeaseService implements AutoCloseable, LeaseTask.Desk {
    private static final ComponentLogger LOG = ComponentLogger.of("duty");
    /** So many in a duty's order may hold it; later ones would only ask. */
    private static final int CANDIDATES = 8;

    private static final int DATAGRAM_MOST = 8192;
    private static final double TICKS = 30;
    /** What was seen is told so many times a lease; a new state goes with so many words of the holder's. */
    private static final double TELLS = 3;

    private static final int ATTACHED = 3;
    /** In the echo of news: a word is wanted from all. */
    private static final long LISTENS = 2;
    /** A duty on which nothing hangs is told of once in so many leases. */
    static final double IDLE_ANNOUNCE_LEASES = 10;

    private static final int END_MILLIS = 2000;

    private final LeaseSettings settings;
    private final DatagramChannel channel;
    private final Selector selector;
    private final MessageCodec envelope;
    /** Null where this dispatcher does not vote. */
    private final PersistentVoter voter;

    private final Map<String, LeaseCandidate> seats = new LinkedHashMap<>();
    private final Map<String, List<Integer>> orders = new HashMap<>();
    private final int life = new SecureRandom().nextInt(LeaseMessage.INCARNATION_LIMIT);
    /** The fence under which each duty is held here. */
    private final Map<String, Long> holds = new HashMap<>();

    private final Map<String, LeaseFollower> followed = new LinkedHashMap<>();
    private final Map<String, LeaseTask> charges;
    private final Queue<Runnable> inbox = new ConcurrentLinkedQueue<>();
    private final Map<String, Double> beatAt = new HashMap<>();
    private final Map<String, Integer> attached = new HashMap<>();
    private final Map<String, Boolean> listened = new HashMap<>();
    private double tellAt;
    private final Thread thread = new Thread(this::run, "duty");
    private volatile boolean ends;

    /** @throws IOException where the address cannot be had */
    public static LeaseService start(LeaseSettings settings, Map<String, LeaseTask> charges) throws IOException {
        LeaseService service = new LeaseService(settings, charges);
        service.thread.setDaemon(true);
        service.thread.start();
        return service;
    }

    private LeaseService(LeaseSettings settings, Map<String, LeaseTask> given) throws IOException {
        this.settings = settings;
        charges = new LinkedHashMap<>(given);
        settings.leaseNames().forEach(leaseName -> charges.putIfAbsent(leaseName, new TermCounter(leaseName)));
        int number = settings.dispatcher();
        envelope = new MessageCodec(settings.sharedKey(), settings.membershipHash(), number, life);
        List<Integer> voters = settings.voters();
        voter = voters.contains(number) ? new PersistentVoter(settings, now(), life) : null;
        for (String leaseName : charges.keySet()) {
            followed.put(leaseName, new LeaseFollower(leaseName, number));
            List<Integer> ranking =
                    CandidateRanking.rank(leaseName, settings.dispatchers().size());
            orders.put(leaseName, ranking);
            int turn = ranking.indexOf(number);
            if (turn < CANDIDATES) {
                seats.put(
                        leaseName, new LeaseCandidate(leaseName, number, life, voters, settings.terms(), turn, now()));
            }
        }
        selector = Selector.open();
        channel = DatagramChannel.open();
        channel.bind(settings.listenAddress());
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ);
    }

    /** Milliseconds of a clock that only goes forward. */
    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void run() {
        long pause = (long) Math.max(1, settings.terms().leaseMillis() / TICKS);
        try {
            double tickAt = now();
            charges.values().forEach(c -> c.joins(this));
            while (!ends) {
                selector.select(pause);
                selector.selectedKeys().clear();
                receive();
                for (Runnable task = inbox.poll(); task != null; task = inbox.poll()) {
                    guarded(task);
                }
                if (now() >= tickAt) {
                    tickAt = now() + pause;
                    tick();
                }
                seats.forEach((leaseName, candidate) -> guarded(() -> look(leaseName, candidate)));
            }
            handOn();
        } catch (IOException e) {
            LOG.warning("duties-end", "duties end here: " + e.getMessage());
        }
    }

    /** Danger: a fault in what is done with one duty must not end the thread that votes on all. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.fault("duty-failed", "work on a duty failed", e);
        }
    }

    @Override
    public void run(Runnable task) {
        inbox.add(task);
        selector.wakeup();
    }

    @Override
    public boolean mayAct(String leaseName) {
        LeaseCandidate candidate = seats.get(leaseName);
        return candidate != null && candidate.mayAct(now());
    }

    @Override
    public void outdo(String leaseName, long fence) {
        LeaseCandidate candidate = seats.get(leaseName);
        if (candidate != null) {
            send(candidate.yieldToHigherFence(fence, now()));
        }
    }

    private void receive() throws IOException {
        ByteBuffer data = ByteBuffer.allocate(DATAGRAM_MOST);
        for (SocketAddress from = channel.receive(data); from != null; from = channel.receive(data)) {
            byte[] bytes = new byte[data.flip().remaining()];
            data.get(bytes).clear();
            long others = envelope.discardedCount(MessageCodec.DiscardReason.OTHER_LIST);
            LeaseMessage message = envelope.decode(bytes);
            if (others == 0 && envelope.discardedCount(MessageCodec.DiscardReason.OTHER_LIST) > 0) {
                LOG.warning(
                        "other-list",
                        "a dispatcher with another list of dispatchers or voters is passed over",
                        "from",
                        from);
            }
            if (message != null && message.sender() < settings.dispatchers().size()) {
                hear(message);
            }
        }
    }

    private void hear(LeaseMessage message) {
        switch (message.kind()) {
            case QUERY, PREPARE, ACCEPT, RELEASE, RECOVER, RECOVERED_RECORD, NO_MEMORY -> {
                if (voter != null) {
                    send(voter.handle(message, now()));
                }
            }
            case ANNOUNCE -> news(message);
            case REQUEST_STATE -> {
                if (mayAct(message.leaseName()) && holds.containsKey(message.leaseName())) {
                    send(List.of(new Outgoing(message.sender(), told(followed.get(message.leaseName()), true))));
                }
            }
            case REPORT -> {
                if (mayAct(message.leaseName())) {
                    guarded(() -> charges.get(message.leaseName())
                            .word(message.sender(), message.requestId(), message.state(), now()));
                }
            }
            default -> {
                LeaseCandidate candidate = seats.get(message.leaseName());
                if (candidate != null) {
                    send(candidate.handle(message, now()));
                }
            }
        }
    }

    private void news(LeaseMessage message) {
        LeaseFollower f = followed.get(message.leaseName());
        if (f != null && !mayAct(message.leaseName())) {
            send(f.handle(message));
            if (f.isUpToDate(message)) {
                guarded(() -> charges.get(message.leaseName())
                        .news(f.fence(), f.version(), f.state(), (message.requestId() & LISTENS) != 0, now()));
            }
        }
    }

    /** To the holder of each duty, what was seen here. */
    private void tell() {
        charges.forEach((leaseName, charge) -> {
            LeaseFollower f = followed.get(leaseName);
            for (byte[] report : charge.tell(f.fence(), now())) {
                send(
                        f.holder() < 0
                                ? List.of()
                                : List.of(new Outgoing(
                                        f.holder(),
                                        LeaseMessage.of(
                                                        LeaseMessage.Kind.REPORT,
                                                        leaseName,
                                                        settings.dispatcher(),
                                                        life,
                                                        0)
                                                .withState(0, 0, report))));
            }
        });
    }

    private void tick() {
        if (voter != null) {
            send(voter.tick(now()));
        }
        seats.values().forEach(candidate -> send(candidate.tick(now())));
        if (now() >= tellAt) {
            tellAt = now() + settings.terms().leaseMillis() / TELLS;
            tell();
        }
    }

    /** What has become of a duty here, and what its holder does next. */
    private void look(String leaseName, LeaseCandidate candidate) {
        double now = now();
        boolean may = candidate.mayAct(now);
        long fence = candidate.fence();
        Long held = holds.get(leaseName);
        LeaseTask charge = charges.get(leaseName);
        if (held != null && (!may || held != fence)) {
            holds.remove(leaseName);
            attached.remove(leaseName);
            LOG.info("duty-lost", "no longer holds " + leaseName, "duty", leaseName, "fence", held);
            charge.lost();
        }
        if (!may || candidate.isChangePending()) {
            return;
        }
        LeaseFollower f = followed.get(leaseName);
        if (holds.put(leaseName, fence) == null || f.version() != candidate.version()) {
            f.recordOwnState(fence, candidate.version(), candidate.state());
            attached.put(leaseName, ATTACHED);
            beatAt.put(leaseName, now);
            charge.news(fence, candidate.version(), candidate.state(), charge.listens(), now);
        }
        beat(leaseName, f, now);
        byte[] next = charge.turn(new LeaseTask.HeldLease(fence, candidate.version(), candidate.state(), now));
        if (next != null && next.length > MessageCodec.MAX_STATE_BYTES) {
            LOG.warning(
                    "state-too-long",
                    "the next state of " + leaseName + " is too long and is left out",
                    "duty",
                    leaseName,
                    "bytes",
                    next.length);
        } else if (next != null) {
            java.util.ArrayList<Outgoing> out = new java.util.ArrayList<>();
            candidate.proposeChange(next, now, out);
            send(out);
        }
    }

    /** Tells all what is stored: the state a few times, since words get lost, then only its version. */
    private void beat(String leaseName, LeaseFollower f, double now) {
        LeaseTask charge = charges.get(leaseName);
        boolean turned = charge.listens() != Boolean.TRUE.equals(listened.put(leaseName, charge.listens()));
        if (now < beatAt.get(leaseName) && !turned) {
            return;
        }
        int left = attached.getOrDefault(leaseName, 0);
        double lease = settings.terms().leaseMillis();
        beatAt.put(leaseName, now + (left > 1 ? lease / 4 : charge.idle() ? IDLE_ANNOUNCE_LEASES * lease : lease / 2));
        attached.put(leaseName, Math.max(0, left - 1));
        LeaseMessage message = told(f, left > 0);
        for (int to = 0; to < settings.dispatchers().size(); to++) {
            if (to != settings.dispatcher()) {
                send(List.of(new Outgoing(to, message)));
            }
        }
        charge.news(f.fence(), f.version(), f.state(), charge.listens(), now);
    }

    private LeaseMessage told(LeaseFollower f, boolean whole) {
        return LeaseMessage.of(
                        LeaseMessage.Kind.ANNOUNCE,
                        f.leaseName(),
                        settings.dispatcher(),
                        (whole ? LeaseFollower.FLAG_HAS_STATE : 0)
                                | (charges.get(f.leaseName()).listens() ? LISTENS : 0),
                        f.fence())
                .withState(f.fence(), f.version(), whole ? f.state() : LeaseMessage.EMPTY_STATE);
    }

    private void send(List<Outgoing> posts) {
        for (Outgoing p : posts) {
            if (p.recipient() == settings.dispatcher()) {
                hear(p.message());
                continue;
            }
            InetSocketAddress to = settings.dispatchers().get(p.recipient());
            try {
                channel.send(ByteBuffer.wrap(envelope.encode(p.message())), to);
            } catch (IOException e) {
                // As a datagram that is lost: it is asked again.
                continue;
            }
        }
    }

    /** A planned end: each duty held goes to the next in its order. */
    private void handOn() throws IOException {
        seats.forEach((leaseName, candidate) -> {
            List<Integer> ranking = orders.get(leaseName);
            int next = ranking.get((ranking.indexOf(settings.dispatcher()) + 1) % ranking.size());
            if (candidate.mayAct(now())) {
                LOG.info(
                        "duty-handed-on",
                        "hands " + leaseName + " on",
                        "duty",
                        leaseName,
                        "fence",
                        candidate.fence(),
                        "to",
                        next);
            }
            send(candidate.retire(next));
        });
        channel.close();
        selector.close();
        if (voter != null) {
            voter.close();
        }
    }

    /** Hands on what is held, and ends. */
    @Override
    public void close() {
        ends = true;
        selector.wakeup();
        try {
            thread.join(END_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (MessageCodec.DiscardReason fault : MessageCodec.DiscardReason.values()) {
            if (envelope.discardedCount(fault) > 0) {
                LOG.info(
                        "duty-passed-over",
                        "messages passed over",
                        "kind",
                        fault,
                        "count",
                        envelope.discardedCount(fault));
            }
        }
    }
}
