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
import nettlewick.lease.LeaseMessage.Post;
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
    static final double IDLE = 10;

    private static final int END_MILLIS = 2000;

    private final LeaseSettings settings;
    private final DatagramChannel channel;
    private final Selector selector;
    private final MessageCodec envelope;
    /** Null where this dispatcher does not vote. */
    private final PersistentVoter voter;

    private final Map<String, LeaseCandidate> seats = new LinkedHashMap<>();
    private final Map<String, List<Integer>> orders = new HashMap<>();
    private final int life = new SecureRandom().nextInt(LeaseMessage.LIVES);
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
        settings.duties().forEach(duty -> charges.putIfAbsent(duty, new TermCounter(duty)));
        int number = settings.number();
        envelope = new MessageCodec(settings.key(), settings.list(), number, life);
        List<Integer> voters = settings.voters();
        voter = voters.contains(number) ? new PersistentVoter(settings, now(), life) : null;
        for (String duty : charges.keySet()) {
            followed.put(duty, new LeaseFollower(duty, number));
            List<Integer> order = CandidateRanking.of(duty, settings.all().size());
            orders.put(duty, order);
            int turn = order.indexOf(number);
            if (turn < CANDIDATES) {
                seats.put(duty, new LeaseCandidate(duty, number, life, voters, settings.terms(), turn, now()));
            }
        }
        selector = Selector.open();
        channel = DatagramChannel.open();
        channel.bind(settings.listen());
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ);
    }

    /** Milliseconds of a clock that only goes forward. */
    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void run() {
        long pause = (long) Math.max(1, settings.terms().lease() / TICKS);
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
                seats.forEach((duty, seat) -> guarded(() -> look(duty, seat)));
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
    public boolean mayAct(String duty) {
        LeaseCandidate seat = seats.get(duty);
        return seat != null && seat.mayAct(now());
    }

    @Override
    public void outdo(String duty, long fence) {
        LeaseCandidate seat = seats.get(duty);
        if (seat != null) {
            send(seat.outdo(fence, now()));
        }
    }

    private void receive() throws IOException {
        ByteBuffer data = ByteBuffer.allocate(DATAGRAM_MOST);
        for (SocketAddress from = channel.receive(data); from != null; from = channel.receive(data)) {
            byte[] bytes = new byte[data.flip().remaining()];
            data.get(bytes).clear();
            long others = envelope.faults(MessageCodec.Fault.OTHER_LIST);
            LeaseMessage m = envelope.open(bytes);
            if (others == 0 && envelope.faults(MessageCodec.Fault.OTHER_LIST) > 0) {
                LOG.warning(
                        "other-list",
                        "a dispatcher with another list of dispatchers or voters is passed over",
                        "from",
                        from);
            }
            if (m != null && m.from() < settings.all().size()) {
                hear(m);
            }
        }
    }

    private void hear(LeaseMessage m) {
        switch (m.kind()) {
            case ASK, PREPARE, ACCEPT, RELEASE, RECALL, TOLD, BLANK -> {
                if (voter != null) {
                    send(voter.hear(m, now()));
                }
            }
            case NEWS -> news(m);
            case BEHIND -> {
                if (mayAct(m.duty()) && holds.containsKey(m.duty())) {
                    send(List.of(new Post(m.from(), told(followed.get(m.duty()), true))));
                }
            }
            case WORD -> {
                if (mayAct(m.duty())) {
                    guarded(() -> charges.get(m.duty()).word(m.from(), m.echo(), m.state(), now()));
                }
            }
            default -> {
                LeaseCandidate seat = seats.get(m.duty());
                if (seat != null) {
                    send(seat.hear(m, now()));
                }
            }
        }
    }

    private void news(LeaseMessage m) {
        LeaseFollower f = followed.get(m.duty());
        if (f != null && !mayAct(m.duty())) {
            send(f.hear(m));
            if (f.upToDate(m)) {
                guarded(() -> charges.get(m.duty())
                        .news(f.fence(), f.version(), f.state(), (m.echo() & LISTENS) != 0, now()));
            }
        }
    }

    /** To the holder of each duty, what was seen here. */
    private void tell() {
        charges.forEach((duty, charge) -> {
            LeaseFollower f = followed.get(duty);
            for (byte[] word : charge.tell(f.fence(), now())) {
                send(
                        f.holder() < 0
                                ? List.of()
                                : List.of(new Post(
                                        f.holder(),
                                        LeaseMessage.of(LeaseMessage.Kind.WORD, duty, settings.number(), life, 0)
                                                .holding(0, 0, word))));
            }
        });
    }

    private void tick() {
        if (voter != null) {
            send(voter.tick(now()));
        }
        seats.values().forEach(seat -> send(seat.tick(now())));
        if (now() >= tellAt) {
            tellAt = now() + settings.terms().lease() / TELLS;
            tell();
        }
    }

    /** What has become of a duty here, and what its holder does next. */
    private void look(String duty, LeaseCandidate seat) {
        double now = now();
        boolean may = seat.mayAct(now);
        long fence = seat.fence();
        Long held = holds.get(duty);
        LeaseTask charge = charges.get(duty);
        if (held != null && (!may || held != fence)) {
            holds.remove(duty);
            attached.remove(duty);
            LOG.info("duty-lost", "no longer holds " + duty, "duty", duty, "fence", held);
            charge.lost();
        }
        if (!may || seat.changing()) {
            return;
        }
        LeaseFollower f = followed.get(duty);
        if (holds.put(duty, fence) == null || f.version() != seat.version()) {
            f.own(fence, seat.version(), seat.state());
            attached.put(duty, ATTACHED);
            beatAt.put(duty, now);
            charge.news(fence, seat.version(), seat.state(), charge.listens(), now);
        }
        beat(duty, f, now);
        byte[] next = charge.turn(new LeaseTask.HeldLease(fence, seat.version(), seat.state(), now));
        if (next != null && next.length > MessageCodec.STATE_MOST) {
            LOG.warning(
                    "state-too-long",
                    "the next state of " + duty + " is too long and is left out",
                    "duty",
                    duty,
                    "bytes",
                    next.length);
        } else if (next != null) {
            java.util.ArrayList<Post> out = new java.util.ArrayList<>();
            seat.change(next, now, out);
            send(out);
        }
    }

    /** Tells all what is stored: the state a few times, since words get lost, then only its version. */
    private void beat(String duty, LeaseFollower f, double now) {
        LeaseTask charge = charges.get(duty);
        boolean turned = charge.listens() != Boolean.TRUE.equals(listened.put(duty, charge.listens()));
        if (now < beatAt.get(duty) && !turned) {
            return;
        }
        int left = attached.getOrDefault(duty, 0);
        double lease = settings.terms().lease();
        beatAt.put(duty, now + (left > 1 ? lease / 4 : charge.idle() ? IDLE * lease : lease / 2));
        attached.put(duty, Math.max(0, left - 1));
        LeaseMessage m = told(f, left > 0);
        for (int to = 0; to < settings.all().size(); to++) {
            if (to != settings.number()) {
                send(List.of(new Post(to, m)));
            }
        }
        charge.news(f.fence(), f.version(), f.state(), charge.listens(), now);
    }

    private LeaseMessage told(LeaseFollower f, boolean whole) {
        return LeaseMessage.of(
                        LeaseMessage.Kind.NEWS,
                        f.duty(),
                        settings.number(),
                        (whole ? LeaseFollower.WHOLE : 0)
                                | (charges.get(f.duty()).listens() ? LISTENS : 0),
                        f.fence())
                .holding(f.fence(), f.version(), whole ? f.state() : LeaseMessage.NOTHING);
    }

    private void send(List<Post> posts) {
        for (Post p : posts) {
            if (p.to() == settings.number()) {
                hear(p.message());
                continue;
            }
            InetSocketAddress to = settings.all().get(p.to());
            try {
                channel.send(ByteBuffer.wrap(envelope.close(p.message())), to);
            } catch (IOException e) {
                // As a datagram that is lost: it is asked again.
                continue;
            }
        }
    }

    /** A planned end: each duty held goes to the next in its order. */
    private void handOn() throws IOException {
        seats.forEach((duty, seat) -> {
            List<Integer> order = orders.get(duty);
            int next = order.get((order.indexOf(settings.number()) + 1) % order.size());
            if (seat.mayAct(now())) {
                LOG.info("duty-handed-on", "hands " + duty + " on", "duty", duty, "fence", seat.fence(), "to", next);
            }
            send(seat.retire(next));
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
        for (MessageCodec.Fault fault : MessageCodec.Fault.values()) {
            if (envelope.faults(fault) > 0) {
                LOG.info("duty-passed-over", "messages passed over", "kind", fault, "count", envelope.faults(fault));
            }
        }
    }
}
