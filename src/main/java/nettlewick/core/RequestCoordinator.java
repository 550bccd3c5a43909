package nettlewick.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointAdminChange;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.PoolsAssigned;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.PoolAssignment;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;

/**
 * Joins requests, attempts and outcomes to the decision module, and keeps the books that the rules ask for:
 * one outcome for each dispatch, one answer for each probe, one final answer for each request, in time.
 *
 * <p>One thread runs {@link #run} and owns the module and all state here. Every other thread comes in by one
 * queue, through the public methods; actions leave through {@link Transport} and {@link Request.Caller}.
 * Time is in milliseconds; only here is it turned into the module's nanoseconds.
 */
public final class RequestCoordinator extends UsageAccounting {
    /** How long a probe is waited for: an answer older than this is worth nothing to the module. */
    private static final double PROBE_PATIENCE = 1000;
    /** Past the deadline by this much, a request that the module left open is failed here. */
    private static final double GUARD = 10;
    /** When to come back to a dispatcher that ends: it is started anew within seconds. */
    private static final double RESTART = 1000;
    /** Ids remembered of requests that are over: some minutes of traffic. */
    private static final int PAST_MOST = 10_000;

    private final SchedulerSettings settings;
    private final Transport transport;
    private int maxOpen;
    private final Map<String, InFlightRequest> open = new HashMap<>();
    private final DrainPolicy parting = new DrainPolicy();
    /** Held back while this process is about to be succeeded. */
    private final List<InFlightRequest> held = new ArrayList<>();
    /** Ids of requests that are over, the oldest first. */
    private final Set<String> past = new LinkedHashSet<>();

    private final EndpointStates workers = new EndpointStates();
    private int unanswered;

    public RequestCoordinator(Clock clock, SchedulerSettings settings, long seed, int maxOpen, Transport transport) {
        this(clock, settings, seed, maxOpen, transport, UsageRecorder.NONE);
    }

    /** One whose books are kept. */
    public RequestCoordinator(
            Clock clock, SchedulerSettings settings, long seed, int maxOpen, Transport transport, UsageRecorder books) {
        this(clock, settings, Dispatcher.create(settings, seed), maxOpen, transport, books);
    }

    RequestCoordinator(
            Clock clock,
            SchedulerSettings settings,
            Dispatcher module,
            int maxOpen,
            Transport transport,
            UsageRecorder books) {
        super(clock, settings, module, books);
        this.settings = settings;
        this.maxOpen = maxOpen;
        this.transport = transport;
    }

    // Ways in, from any thread

    /** Takes a request; its caller gets exactly one final answer. */
    public void submit(Request request) {
        queue.add(() -> arrive(request));
    }

    /** Nobody waits for this request any more: no answer is owed. */
    public void abandon(Request request) {
        queue.add(() -> {
            InFlightRequest o = open.get(request.id());
            if (o != null && o.request == request && answer(o)) {
                settle(request, o, UsageRecorder.Ending.LEFT, null, () -> {});
                pendingEvents.add(new Abandoned(request.id()));
                forget(o);
            }
        });
    }

    /** News of the workers. */
    public void updateEndpoints(EndpointUpdate roster) {
        queue.add(() -> {
            pendingEvents.add(workers.apply(roster));
            listener.listed(roster);
        });
    }

    /** An operator has taken a worker out, or put it back, at that time. */
    public void setEndpointDisabled(String endpoint, boolean out, double since) {
        queue.add(() -> {
            workers.setDisabled(endpoint, out);
            pendingEvents.add(new EndpointAdminChange(endpoint, out, toNanos(since)));
        });
    }

    /** From now on these are the members' own workers, all of them; others keep away as each says. */
    public void assignPools(List<PoolAssignment> assignments) {
        queue.add(() -> pendingEvents.add(new PoolsAssigned(assignments)));
    }

    /** An attempt shows a sign of life. */
    public void reportProgress(Attempt attempt, double share) {
        double at = clock.now();
        queue.add(() -> {
            if (!attempt.isEnded()) {
                attempt.recordStart(at);
                attempt.recordProgress(share);
                pendingEvents.add(new Progress(attempt.request().id(), attempt.number(), attempt.endpoint(), share));
                InFlightRequest o = open.get(attempt.request().id());
                if (o != null && !o.answered) {
                    o.request.caller().progress(share);
                }
            }
        });
    }

    /** An attempt is over. Only its first end counts. */
    public void attemptEnded(Attempt attempt, Attempt.Outcome outcome) {
        double at = clock.now();
        queue.add(() -> end(attempt, outcome, at));
    }

    /** A probe is over. Only its first end counts. */
    public void probeAnswered(Probe probe, Attempt.Outcome outcome) {
        double at = clock.now();
        queue.add(() -> answered(probe, outcome, at));
    }

    /** A message from the dispatcher of that rank. */
    public void receivePeerMessage(int rank, byte[] data) {
        queue.add(() -> pendingEvents.add(new PeerMessageReceived(rank, data)));
    }

    /** Runs {@code then} with the number of requests that still wait for their final answer. */
    public void withUnansweredCount(java.util.function.IntConsumer then) {
        queue.add(() -> then.accept(unanswered));
    }

    /** From now on so many requests may wait for their final answer at once. */
    public void setMaxInFlight(int most) {
        queue.add(() -> maxOpen = most);
    }

    /**
     * Ends all that is still open, for an end of the program that cannot wait: refused where that is
     * harmless, else failed, since it may be running. What comes from now on is refused.
     */
    public void answerAllNow() {
        queue.add(() -> {
            parting.stopAdmitting();
            open.values().stream().filter(o -> !o.answered).toList().forEach(this::endNow);
        });
    }

    private void endNow(InFlightRequest o) {
        answer(o);
        pendingEvents.add(new Abandoned(o.request.id()));
        boolean harmless = o.attempts.isEmpty() || o.requestClass.idempotency() == Idempotency.IDEMPOTENT;
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
    public void expectSuccessor(double term, double kill) {
        queue.add(() -> parting.expectDraining(term, kill));
    }

    /** Nobody succeeds this process after all. */
    public void cancelDraining() {
        queue.add(() -> {
            parting.cancelExpectedDraining();
            letGo();
        });
    }

    /** The planned end begins: what would outlive this process is given back, while that is harmless. */
    public void startDraining(double kill) {
        queue.add(() -> {
            parting.startDraining(kill);
            List.copyOf(held).forEach(this::giveBack);
            held.clear();
        });
    }

    /** Tells whether a job in work ends only if the planned end waits; the kill is {@code span} after it. */
    public void askWhetherWaitingHelps(double span, java.util.function.Consumer<Boolean> then) {
        queue.add(() -> then.accept(open.values().stream()
                .filter(o -> !o.answered && !held.contains(o))
                .anyMatch(o -> parting.isSavedByWaiting(left(o), now, span))));
    }

    private double left(InFlightRequest o) {
        double whole = parting.expectedRunMillis(o.request.requestClass(), o.request.costHint());
        return o.attempts.stream()
                .filter(a -> !a.isEnded())
                .mapToDouble(a -> a.remainingMillis(now, whole))
                .min()
                .orElse(whole);
    }

    private void giveBack(InFlightRequest o) {
        if (answer(o)) {
            // To a successor there is no need to wait; else the next process takes a while to start.
            refuse(
                    o.request,
                    o,
                    parting.hasStoppedAdmitting() && settings.limits().retryAfter() ? RESTART : 0);
            forget(o);
        }
    }

    private void letGo() {
        held.stream().filter(o -> !o.answered).forEach(this::hand);
        held.clear();
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
            // It has waited behind others on its connection, or before this thread, and was never sent.
            refuse(r, null, 0);
            return;
        }
        InFlightRequest o = new InFlightRequest(r, jobClass(r));
        open.put(r.id(), o);
        unanswered++;
        listener.asked(r);
        schedule(r.deadline() + GUARD, () -> endAtDeadline(o, true));
        switch (parting.decide(r.requestClass(), r.costHint(), now)) {
            case ADMIT -> hand(o);
            case REJECT -> giveBack(o);
            case HOLD -> {
                held.add(o);
                schedule(parting.holdUntilMillis(), this::letGo);
            }
        }
    }

    /** The fronts let no other class in. */
    private RequestClass jobClass(Request r) {
        return settings.classes().stream()
                .filter(c -> c.name().equals(r.requestClass()))
                .findFirst()
                .orElseThrow();
    }

    /** Hands a request to the module. */
    private void hand(InFlightRequest o) {
        Request r = o.request;
        pendingEvents.add(new Arrival(
                r.id(),
                r.requestClass(),
                r.tenant(),
                toNanos(r.deadline()) - toNanos(now),
                r.slots(),
                r.memory(),
                toNanos(r.costHint()),
                r.key(),
                r.repeat()));
    }

    /**
     * The last answer that a request can have: nothing else is needed for it. After a pause of the thread the
     * deadline's own outcome is due in this turn too, and the module may still refuse what would be failed
     * here; so it is let go first, but {@code once}: under a flood there is news for the module in every
     * turn.
     */
    private void endAtDeadline(InFlightRequest o, boolean once) {
        if (!o.answered && once && !pendingEvents.isEmpty()) {
            schedule(now, () -> endAtDeadline(o, false));
        } else if (answer(o)) {
            LOG.warning(
                    "left-open",
                    "request " + o.request.id() + " was left open until its deadline",
                    "request",
                    o.request.id(),
                    "member",
                    o.request.tenant());
            pendingEvents.add(new Abandoned(o.request.id()));
            fail(o.request, o, "no answer in time");
            forget(o);
        }
    }

    private void end(Attempt a, Attempt.Outcome outcome, double at) {
        if (!a.markEnded()) {
            return;
        }
        a.recordEnd(at, outcome.result().neverRan);
        listener.ended(a, outcome.result());
        Request r = a.request();
        InFlightRequest o = open.get(r.id());
        boolean settled = o == null || o.answered;
        if (!settled && outcome.result() == AttemptResult.SERVED) {
            answer(o);
            parting.recordRunTime(r.requestClass(), r.costHint(), a.elapsedMillis(now, false));
            settle(r, o, UsageRecorder.Ending.SERVED, a, () -> r.caller().served(outcome.body()));
            settled = true;
        }
        pendingEvents.add(new Outcome(
                r.id(),
                a.number(),
                a.endpoint(),
                outcome.result(),
                toNanos(at - a.sentAtMillis()),
                settled,
                outcome.load()));
        if (o != null) {
            forget(o);
        }
    }

    private void answered(Probe probe, Attempt.Outcome outcome, double at) {
        if (probe.markEnded()) {
            pendingEvents.add(new ProbeAnswer(
                    probe.endpoint(), outcome.result(), toNanos(at - probe.sentAtMillis()), outcome.load()));
        }
    }

    /** True once only: guards the rule of one final answer for each request. */
    private boolean answer(InFlightRequest o) {
        boolean first = !o.answered;
        o.answered = true;
        unanswered -= first ? 1 : 0;
        return first;
    }

    private void refuse(Request r, InFlightRequest o, double retryAfter) {
        settle(r, o, UsageRecorder.Ending.REFUSED, null, () -> r.caller().rejected(retryAfter));
    }

    private void fail(Request r, InFlightRequest o, String reason) {
        settle(r, o, UsageRecorder.Ending.FAILED, null, () -> r.caller().failed(reason));
    }

    private void forget(InFlightRequest o) {
        if (o.answered && !o.hasAttemptInFlight() && open.remove(o.request.id(), o)) {
            past.add(o.request.id());
            if (past.size() > PAST_MOST) {
                past.remove(past.iterator().next());
            }
        }
    }

    // Actions

    @Override
    void execute(Action action) {
        if (action instanceof Dispatch d) {
            dispatch(d);
        } else if (action instanceof Reject a) {
            InFlightRequest o = open.get(a.id());
            if (o != null && answer(o)) {
                refuse(o.request, o, a.retryAfter() / NANOS);
                forget(o);
            }
        } else if (action instanceof Fail a) {
            InFlightRequest o = open.get(a.id());
            if (o != null && answer(o)) {
                fail(o.request, o, "given up");
                forget(o);
            }
        } else if (action instanceof Cancel c) {
            InFlightRequest o = open.get(c.id());
            if (o != null && c.attempt() >= 0 && c.attempt() < o.attempts.size()) {
                giveUp(o.attempts.get(c.attempt()), AttemptResult.CANCELLED);
            }
        } else if (action instanceof Action.Probe p) {
            Probe probe = new Probe(p.endpoint(), now);
            schedule(now + PROBE_PATIENCE, () -> {
                answered(probe, Attempt.Outcome.of(AttemptResult.TIMEOUT), now);
                transport.drop(probe);
            });
            transport.probe(probe);
        } else if (action instanceof SendToPeer t) {
            transport.tell(t.rank(), t.data());
        } else if (action instanceof SetTimer t) {
            schedule(now + t.delay() / NANOS, () -> pendingEvents.add(new Timer(t.name())));
        }
    }

    private void dispatch(Dispatch d) {
        InFlightRequest o = open.get(d.id());
        if (o == null) {
            return;
        }
        Request r = o.request;
        Attempt a = new Attempt(r, o.attempts.size(), d.endpoint(), now, o.latestStartMillis(), () -> !o.answered);
        o.attempts.add(a);
        if (o.answered || now >= r.deadline() || a.number() >= settings.limits().maxAttempts()) {
            end(a, Attempt.Outcome.of(AttemptResult.NOT_SENT), now);
        } else if (!workers.isKnown(d.endpoint())) {
            end(a, Attempt.Outcome.of(AttemptResult.UNREACHABLE), now);
        } else if (!workers.isAccepting(d.endpoint())) {
            // Danger: sent to a runner that drains. It is looked at again here and before the first byte.
            end(a, Attempt.Outcome.of(AttemptResult.OVERLOADED), now);
        } else {
            double until = d.timeout() > 0 ? Math.min(r.deadline(), now + d.timeout() / NANOS) : r.deadline();
            schedule(until, () -> giveUp(a, AttemptResult.TIMEOUT));
            transport.send(a);
        }
    }

    /** Stops waiting for an attempt; what comes of it later counts no more. */
    private void giveUp(Attempt a, AttemptResult result) {
        if (!a.isEnded()) {
            end(a, Attempt.Outcome.of(result), now);
            transport.drop(a);
        }
    }
}
