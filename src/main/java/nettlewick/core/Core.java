package nettlewick.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Dispatcher.*;
import nettlewick.log.Part;

/**
 * Joins requests, attempts and outcomes to the decision module, and keeps the books that the rules ask for:
 * one outcome for each dispatch, one answer for each probe, one final answer for each request, in time.
 *
 * <p>One thread runs {@link #run} and owns the module and all state here. Every other thread comes in by one
 * queue, through the public methods; actions leave through {@link Transport} and {@link Request.Caller}.
 * Time is in milliseconds; only here is it turned into the module's nanoseconds.
 */
public final class Core implements Runnable {
    private static final Part LOG = Part.of("core");
    /** How long a probe is waited for: an answer older than this is worth nothing to the module. */
    private static final double PROBE_PATIENCE = 1000;
    /** Past the deadline by this much, a request that the module left open is failed here. */
    private static final double GUARD = 10;
    /** When to come back to a dispatcher that ends: it is started anew within seconds. */
    private static final double RESTART = 1000;
    private static final double NANOS = 1e6;
    private static final double MICROS = 1e3;
    private static final int BATCH = 512;
    /** How often the workers left out are counted. */
    private static final double COUNT = 50;
    /** Ids remembered of requests that are over: some minutes of traffic. */
    private static final int PAST_MOST = 10_000;

    private final Clock clock;
    private final Dispatcher module;
    private final Settings settings;
    private final Transport transport;
    private final Figures figures;
    private final Books books;
    private int maxOpen;
    private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final Map<String, Open> open = new HashMap<>();
    private final Parting parting = new Parting();
    /** Held back while this process is about to be succeeded. */
    private final List<Open> held = new ArrayList<>();
    /** Ids of requests that are over, the oldest first. */
    private final Set<String> past = new LinkedHashSet<>();
    private final Set<String> ready = new HashSet<>();
    private final Set<String> known = new HashSet<>();
    private final Set<String> banned = new HashSet<>();
    private final Set<String> seenFaults = new HashSet<>();
    private PeerFaults lastFaults = new PeerFaults(0, 0, 0);
    private List<Event> batch = new ArrayList<>();
    private double now;
    private double countedAt;
    private long timerNumber;
    private int unanswered;
    private volatile boolean stopped;

    /** A request until its final answer and its last outcome. */
    private static final class Open {
        final Request request;
        final double arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean answered;

        Open(Request request, double arrivedAt) {
            this.request = request;
            this.arrivedAt = arrivedAt;
        }

        boolean out() {
            return attempts.stream().anyMatch(a -> !a.over());
        }
    }

    private record Due(double at, long number, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int order = Double.compare(at, other.at);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    public Core(Clock clock, Settings settings, long seed, int maxOpen, Transport transport) {
        this(clock, settings, seed, maxOpen, transport, Books.NONE);
    }

    /** One whose books are kept. */
    public Core(Clock clock, Settings settings, long seed, int maxOpen, Transport transport, Books books) {
        this(clock, settings, Dispatcher.create(settings, seed), maxOpen, transport, books);
    }

    Core(Clock clock, Settings settings, Dispatcher module, int maxOpen, Transport transport, Books books) {
        this.books = books;
        this.clock = clock;
        this.settings = settings;
        this.module = module;
        this.maxOpen = maxOpen;
        figures = new Figures(settings.classes().stream().map(JobClass::name).toList());
        this.transport = transport;
        this.now = clock.now();
    }

    // Ways in, from any thread

    /** What operators count. */
    public Figures figures() {
        return figures;
    }

    /** Takes a request; its caller gets exactly one final answer. */
    public void submit(Request request) {
        inbox.add(() -> arrive(request));
    }

    /** Nobody waits for this request any more: no answer is owed. */
    public void abandon(Request request) {
        inbox.add(() -> {
            Open o = open.get(request.id());
            if (o != null && o.request == request && answer(o)) {
                settle(request, o, Books.Ending.LEFT, null, () -> { });
                batch.add(new Abandoned(request.id()));
                forget(o);
            }
        });
    }

    /** News of the workers. */
    public void learn(Roster roster) {
        inbox.add(() -> take(roster));
    }

    /** An operator has taken a worker out, or put it back, at that time. */
    public void ban(String worker, boolean out, double since) {
        inbox.add(() -> {
            if (out) {
                banned.add(worker);
            } else {
                banned.remove(worker);
            }
            batch.add(new Ban(worker, out, nanos(since)));
        });
    }

    /** An attempt shows a sign of life. */
    public void progress(Attempt attempt, double share) {
        double at = clock.now();
        inbox.add(() -> {
            if (!attempt.over()) {
                attempt.started(at);
                attempt.done(share);
                batch.add(new Progress(attempt.request().id(), attempt.number(), attempt.worker(), share));
                Open o = open.get(attempt.request().id());
                if (o != null && !o.answered) {
                    o.request.caller().progress(share);
                }
            }
        });
    }

    /** An attempt is over. Only its first end counts. */
    public void ended(Attempt attempt, Attempt.Outcome outcome) {
        double at = clock.now();
        inbox.add(() -> end(attempt, outcome, at));
    }

    /** A probe is over. Only its first end counts. */
    public void probed(Probe probe, Attempt.Outcome outcome) {
        double at = clock.now();
        inbox.add(() -> answered(probe, outcome, at));
    }

    /** A message from the dispatcher of that rank. */
    public void heard(int rank, byte[] data) {
        inbox.add(() -> batch.add(new PeerMessage(rank, data)));
    }

    /** Runs {@code then} with the number of requests that still wait for their final answer. */
    public void unanswered(java.util.function.IntConsumer then) {
        inbox.add(() -> then.accept(unanswered));
    }

    /** From now on so many requests may wait for their final answer at once. */
    public void reload(int most) {
        inbox.add(() -> maxOpen = most);
    }

    /**
     * Ends what came after that time and is still open, for an end of the program that cannot wait: refused
     * where that is harmless, else failed, since it may be running.
     */
    public void endSince(double time) {
        inbox.add(() -> open.values().stream().filter(o -> !o.answered && o.arrivedAt > time).toList()
                .forEach(this::endNow));
    }

    private void endNow(Open o) {
        answer(o);
        batch.add(new Abandoned(o.request.id()));
        boolean harmless = o.attempts.isEmpty() || settings.classes().stream().anyMatch(c ->
                c.name().equals(o.request.jobClass()) && c.repeat() == Repeat.RETRYABLE);
        if (harmless) {
            refuse(o.request, o, settings.limits().retryAfter() ? RESTART : 0);
        } else {
            fail(o.request, o, "this dispatcher ends");
        }
        forget(o);
    }

    /**
     * Another process is to succeed this one: the planned end is expected to begin and the kill to come at
     * these times. Jobs that would outlive this process are held back until then.
     */
    public void foresee(double term, double kill) {
        inbox.add(() -> parting.foresee(term, kill));
    }

    /** Nobody succeeds this process after all. */
    public void stay() {
        inbox.add(() -> {
            parting.stay();
            letGo();
        });
    }

    /** The planned end begins: what would outlive this process is given back, while that is harmless. */
    public void part(double kill) {
        inbox.add(() -> {
            parting.begin(kill);
            List.copyOf(held).forEach(this::giveBack);
            held.clear();
        });
    }

    /** Tells whether a job in work ends only if the planned end waits; the kill is {@code span} after it. */
    public void saves(double span, java.util.function.Consumer<Boolean> then) {
        inbox.add(() -> then.accept(open.values().stream().filter(o -> !o.answered && !held.contains(o))
                .anyMatch(o -> parting.saves(left(o), now, span))));
    }

    private double left(Open o) {
        double whole = parting.expected(o.request.jobClass(), o.request.hint());
        return o.attempts.stream().filter(a -> !a.over()).mapToDouble(a -> a.left(now, whole)).min()
                .orElse(whole);
    }

    private void giveBack(Open o) {
        if (answer(o)) {
            refuse(o.request, o, 0);
            forget(o);
        }
    }

    private void letGo() {
        held.stream().filter(o -> !o.answered).forEach(this::hand);
        held.clear();
    }

    public void stop() {
        inbox.add(() -> stopped = true);
    }

    // The one thread

    @Override
    public void run() {
        decide();
        while (!stopped) {
            try {
                turn(waiting());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private double waiting() {
        if (!batch.isEmpty()) {
            return 0;
        }
        return timers.isEmpty() ? 1000 : Math.max(0, timers.peek().at() - clock.now());
    }

    /** One round: waits so many milliseconds for news at most, then takes all there is and decides on it. */
    void turn(double wait) throws InterruptedException {
        Runnable first = inbox.poll((long) Math.ceil(wait * 1000), TimeUnit.MICROSECONDS);
        now = clock.now();
        for (int taken = 0; first != null; first = ++taken < BATCH ? inbox.poll() : null) {
            guarded(first);
        }
        List<Due> due = new ArrayList<>();
        while (!timers.isEmpty() && timers.peek().at() <= now) {
            due.add(timers.poll());
        }
        due.forEach(d -> guarded(d.task()));
        while (!batch.isEmpty()) {
            decide();
        }
        if (now - countedAt >= COUNT) {
            countedAt = now;
            Rotation rotation = module.rotation();
            figures.list(rotation.listed(), rotation.avoided());
            passedOver(module.peerFaults());
        }
    }

    /** Counts what peers sent and the module passed over; each kind is logged at its first sight. */
    private void passedOver(PeerFaults faults) {
        if (faults.equals(lastFaults)) {
            return;
        }
        lastFaults = faults;
        Map<String, Long> kinds = new TreeMap<>(Map.of("damaged", faults.damaged(), "late",
                faults.late(), "unlisted", faults.unlisted()));
        kinds.forEach((kind, count) -> {
            if (count > 0 && seenFaults.add(kind)) {
                LOG.warning("peer-" + kind, "peers' datagrams passed over: " + count + " " + kind
                        + "; counted from now on in the figures, not logged again", "kind", kind);
            }
        });
        figures.peers(kinds);
    }

    /** Danger: a fault in one task must not end the thread that all requests depend on. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.fault("task-failed", "core task failed", e);
        }
    }

    private void decide() {
        List<Event> events = batch;
        batch = new ArrayList<>();
        List<Action> actions;
        try {
            actions = module.handle(nanos(now), events);
        } catch (RuntimeException e) {
            LOG.fault("module-failed", "decision module failed on " + events.size() + " events", e);
            return;
        }
        for (Action action : actions) {
            guarded(() -> carryOut(action));
        }
    }

    private static long nanos(double millis) {
        return Math.round(millis * NANOS);
    }

    private void after(double at, Runnable task) {
        timers.add(new Due(at, timerNumber++, task));
    }

    // Events

    private void arrive(Request r) {
        if (open.containsKey(r.id()) || past.contains(r.id())) {
            // Danger: the module takes an id once; a second request under it would never be answered. Nor may
            // one under the id of a request that has just ended run: a mark-submit would run twice.
            fail(r, null, "the id of a request that was taken before");
            return;
        }
        if (unanswered >= maxOpen) {
            refuse(r, null, settings.limits().maxRetryAfter() / NANOS / 2);
            return;
        }
        if (r.deadline() <= now) {
            fail(r, null, "the deadline has passed");
            return;
        }
        Open o = new Open(r, now);
        open.put(r.id(), o);
        unanswered++;
        after(r.deadline() + GUARD, () -> guard(o));
        switch (parting.verdict(r.jobClass(), r.hint(), now)) {
            case TAKE -> hand(o);
            case REFUSE -> giveBack(o);
            case HOLD -> {
                held.add(o);
                after(parting.heldUntil(), this::letGo);
            }
        }
    }

    /** Hands a request to the module. */
    private void hand(Open o) {
        Request r = o.request;
        batch.add(new Arrival(r.id(), r.jobClass(), r.tenant(), nanos(r.deadline()) - nanos(now), r.slots(),
                r.memory(), nanos(r.hint()), r.key(), r.repeat()));
    }

    private void guard(Open o) {
        if (!o.answered && !batch.isEmpty()) {
            // Danger: after a pause of the thread, the deadline's own outcome is due in this turn too; the
            // module has not seen it yet, and may still refuse what would be failed here.
            after(now, () -> guard(o));
        } else if (answer(o)) {
            LOG.warning("left-open", "request " + o.request.id() + " was left open until its deadline",
                    "request", o.request.id(), "member", o.request.tenant());
            batch.add(new Abandoned(o.request.id()));
            fail(o.request, o, "no answer in time");
            forget(o);
        }
    }

    private void take(Roster roster) {
        if (roster.whole()) {
            ready.clear();
        }
        List<WorkerEntry> entries = new ArrayList<>();
        for (Roster.Entry e : roster.entries()) {
            known.add(e.worker());
            if (e.life() == Life.READY) {
                ready.add(e.worker());
            } else {
                ready.remove(e.worker());
            }
            entries.add(new WorkerEntry(e.worker(), e.life(), e.startedAt() > 0 ? nanos(e.startedAt()) : 0,
                    e.cell(), e.kind(), e.zone(), e.size()));
        }
        batch.add(new WorkerList(roster.whole(), entries));
    }

    private void end(Attempt a, Attempt.Outcome outcome, double at) {
        if (!a.end()) {
            return;
        }
        a.endedAt(at);
        Request r = a.request();
        Open o = open.get(r.id());
        boolean settled = o == null || o.answered;
        if (!settled && outcome.result() == Result.SERVED) {
            answer(o);
            parting.ran(r.jobClass(), r.hint(), a.span(now, false));
            settle(r, o, Books.Ending.SERVED, a, () -> r.caller().served(outcome.body()));
            settled = true;
        }
        batch.add(new Outcome(r.id(), a.number(), a.worker(), outcome.result(), nanos(at - a.sentAt()),
                settled, outcome.load()));
        if (o != null) {
            forget(o);
        }
    }

    private void answered(Probe probe, Attempt.Outcome outcome, double at) {
        if (probe.end()) {
            batch.add(new ProbeAnswer(probe.worker(), outcome.result(), nanos(at - probe.sentAt()),
                    outcome.load()));
        }
    }

    /** True once only: guards the rule of one final answer for each request. */
    private boolean answer(Open o) {
        boolean first = !o.answered;
        o.answered = true;
        unanswered -= first ? 1 : 0;
        return first;
    }

    private void refuse(Request r, Open o, double retryAfter) {
        settle(r, o, Books.Ending.REFUSED, null, () -> r.caller().refused(retryAfter));
    }

    private void fail(Request r, Open o, String reason) {
        settle(r, o, Books.Ending.FAILED, null, () -> r.caller().failed(reason));
    }

    /**
     * Has the end entered in the books, which let the answer go; {@code by} is the attempt that served it.
     */
    private void settle(Request r, Open o, Books.Ending ending, Attempt by, Runnable answer) {
        if (books == Books.NONE) {
            answer.run();
            return;
        }
        double work = 0;
        boolean estimate = by != null && !by.hasStarted();
        if (by != null) {
            work = estimate && r.hint() > 0 ? r.hint() : by.span(now, estimate);
        }
        double spare = 0;
        for (Attempt a : o == null ? List.<Attempt>of() : o.attempts) {
            spare += a == by ? 0 : a.span(now, false);
        }
        Books.Job job = new Books.Job(r, ending, now, o == null ? 0 : o.attempts.size(),
                Math.round(work * r.slots() * MICROS), estimate, Math.round(spare * r.slots() * MICROS));
        Runnable overdue = books.settle(job, receipt -> {
            if (receipt != Books.Receipt.NONE) {
                r.caller().receipt(receipt);
            }
            answer.run();
        });
        if (overdue != null) {
            after(Math.min(now + books.patience(), Math.max(now, r.deadline())), overdue);
        }
    }

    private void forget(Open o) {
        if (o.answered && !o.out() && open.remove(o.request.id(), o)) {
            past.add(o.request.id());
            if (past.size() > PAST_MOST) {
                past.remove(past.iterator().next());
            }
        }
    }

    // Actions

    private void carryOut(Action action) {
        if (action instanceof Dispatch d) {
            dispatch(d);
        } else if (action instanceof Refuse a) {
            Open o = open.get(a.id());
            if (o != null && answer(o)) {
                refuse(o.request, o, a.retryAfter() / NANOS);
                forget(o);
            }
        } else if (action instanceof Fail a) {
            Open o = open.get(a.id());
            if (o != null && answer(o)) {
                fail(o.request, o, "given up");
                forget(o);
            }
        } else if (action instanceof Cancel c) {
            Open o = open.get(c.id());
            if (o != null && c.attempt() >= 0 && c.attempt() < o.attempts.size()) {
                giveUp(o.attempts.get(c.attempt()), Result.CANCELLED);
            }
        } else if (action instanceof Dispatcher.Probe p) {
            Probe probe = new Probe(p.worker(), now);
            after(now + PROBE_PATIENCE, () -> {
                answered(probe, Attempt.Outcome.of(Result.TIMEOUT), now);
                transport.drop(probe);
            });
            transport.probe(probe);
        } else if (action instanceof TellPeer t) {
            transport.tell(t.rank(), t.data());
        } else if (action instanceof SetTimer t) {
            after(now + t.delay() / NANOS, () -> batch.add(new Timer(t.name())));
        }
    }

    private void dispatch(Dispatch d) {
        Open o = open.get(d.id());
        if (o == null) {
            return;
        }
        Request r = o.request;
        Attempt a = new Attempt(r, o.attempts.size(), d.worker(), now);
        o.attempts.add(a);
        if (o.answered || now >= r.deadline() || a.number() >= settings.limits().attempts()) {
            end(a, Attempt.Outcome.of(Result.MOOT), now);
        } else if (!known.contains(d.worker())) {
            end(a, Attempt.Outcome.of(Result.UNREACHABLE), now);
        } else if (!ready.contains(d.worker()) || banned.contains(d.worker())) {
            // Danger: sent to a runner that drains. It is looked at again here and before the first byte.
            end(a, Attempt.Outcome.of(Result.FULL), now);
        } else {
            double until = d.timeout() > 0 ? Math.min(r.deadline(), now + d.timeout() / NANOS) : r.deadline();
            after(until, () -> giveUp(a, Result.TIMEOUT));
            transport.send(a);
        }
    }

    /** Stops waiting for an attempt; what comes of it later counts no more. */
    private void giveUp(Attempt a, Result result) {
        if (!a.over()) {
            end(a, Attempt.Outcome.of(result), now);
            transport.drop(a);
        }
    }
}
