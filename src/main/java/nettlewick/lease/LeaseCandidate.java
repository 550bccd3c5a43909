package nettlewick.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * One dispatcher's candidacy for one lease, from waiting to holding it (see docs/duties.md). Times are milliseconds of
 * the dispatcher's own monotonic clock, which the caller passes in. Does no I/O; confined to one thread.
 */
final class LeaseCandidate {
    /** The steps towards holding the lease; RETIRED is final. */
    enum State {
        WAITING,
        QUERYING,
        PREPARING,
        ACCEPTING,
        HOLDING,
        RETIRED
    }

    /** Delay before an unanswered renewal is sent again, in lease durations. */
    private static final double RENEWAL_RETRY_INTERVAL_LEASES = 1.0 / 6;
    /** Delay before an unanswered request of a candidate is sent again, in lease durations. */
    private static final double REQUEST_RETRY_INTERVAL_LEASES = RENEWAL_RETRY_INTERVAL_LEASES / 2;
    /** Delay before a holder renews and before a candidate whose lease expired tries again, in lease durations. */
    private static final double RENEWAL_INTERVAL_LEASES = 1.0 / 3;
    /** A candidate backs off after this many transmissions of one request. */
    private static final int MAX_TRANSMISSIONS = 4;

    private final String leaseName;
    private final int dispatcher;
    private final int incarnation;
    private final List<Integer> voters;
    private final LeaseParameters parameters;
    private final int rank;

    private final VoteRound round;
    private State lifecycleState = State.WAITING;
    private double nextAttemptAtMillis;
    private double preparedAtMillis;
    private double heldUntilMillis = Double.NEGATIVE_INFINITY;
    private double confirmedAtMillis = Double.NEGATIVE_INFINITY;

    private long highestBallot;
    private long ballot;
    private long version;
    private byte[] state = LeaseMessage.EMPTY_STATE;
    /** The state that is proposed as the next version, or null. */
    private byte[] proposedState;

    /**
     * @param incarnation this process's incarnation, drawn at random below {@link Ballot#INCARNATION_LIMIT}
     * @param rank        this dispatcher's index in the lease's {@link CandidateRanking}; candidates at higher indexes
     *                    wait longer before their first attempt
     * @param nowMillis   when the candidate starts
     */
    LeaseCandidate(
            String leaseName,
            int dispatcher,
            int incarnation,
            List<Integer> voters,
            LeaseParameters parameters,
            int rank,
            double nowMillis) {
        this(
                leaseName,
                dispatcher,
                incarnation,
                voters,
                parameters,
                rank,
                new VoteRound(voters, (long) incarnation << Integer.SIZE));
        ballot = Ballot.of(0, incarnation, dispatcher);
        nextAttemptAtMillis = nowMillis + rank * parameters.leaseMillis() / 2;
    }

    private LeaseCandidate(
            String leaseName,
            int dispatcher,
            int incarnation,
            List<Integer> voters,
            LeaseParameters parameters,
            int rank,
            VoteRound round) {
        this.leaseName = leaseName;
        this.dispatcher = dispatcher;
        this.incarnation = incarnation;
        this.voters = voters;
        this.parameters = parameters;
        this.rank = rank;
        this.round = round;
    }

    /** Returns an independent copy, for tests that explore the possible orders of events. */
    LeaseCandidate copy() {
        LeaseCandidate copy =
                new LeaseCandidate(leaseName, dispatcher, incarnation, voters, parameters, rank, round.copy());
        copy.lifecycleState = lifecycleState;
        copy.nextAttemptAtMillis = nextAttemptAtMillis;
        copy.preparedAtMillis = preparedAtMillis;
        copy.heldUntilMillis = heldUntilMillis;
        copy.confirmedAtMillis = confirmedAtMillis;
        copy.highestBallot = highestBallot;
        copy.ballot = ballot;
        copy.version = version;
        copy.state = state;
        copy.proposedState = proposedState;
        return copy;
    }

    /** Describes everything that determines later behaviour, so that tests can tell states apart. */
    String describeState() {
        return lifecycleState + " " + nextAttemptAtMillis + " " + round.startedAtMillis() + " " + round.transmissions()
                + " " + preparedAtMillis + " " + round.requestId() + " " + highestBallot + " " + ballot + " "
                + heldUntilMillis + " " + confirmedAtMillis + " " + round.answeredVoters() + " " + version + " "
                + Arrays.toString(proposedState);
    }

    State lifecycleState() {
        return lifecycleState;
    }

    /** Whether the dispatcher may act under its fence now; must be checked right before each operation. */
    boolean mayAct(double nowMillis) {
        return lifecycleState == State.HOLDING && nowMillis < heldUntilMillis;
    }

    /** The fence under which the lease is held; valid only while it is held. */
    long fence() {
        return ballot;
    }

    /** The version that a majority of voters has stored. */
    long version() {
        return version;
    }

    /** The state that a majority of voters has stored. */
    byte[] state() {
        return state;
    }

    /** Whether a proposed change is not stored yet, so that the next one has to wait. */
    boolean isChangePending() {
        return proposedState != null;
    }

    /**
     * Proposes the next version of the state. It is stored once {@link #isChangePending} is false while the lease is
     * still held. Proposes nothing and returns no messages if this dispatcher may not act or a change is pending.
     */
    List<Outgoing> proposeChange(byte[] next, double nowMillis) {
        if (!mayAct(nowMillis) || proposedState != null) {
            return List.of();
        }
        proposedState = next;
        return startRequest(Kind.ACCEPT, nowMillis);
    }

    /** Releases the lease and competes for it again above this fence, if the fence is not below its own. */
    List<Outgoing> yieldToHigherFence(long fence, double nowMillis) {
        if (lifecycleState == State.RETIRED || fence < ballot) {
            return List.of();
        }
        List<Outgoing> out = release();
        highestBallot = Math.max(highestBallot, fence);
        scheduleNextAttempt(nowMillis);
        return out;
    }

    /** Releases the lease, hands it over to the successor and stops competing for it; part of a graceful shutdown. */
    List<Outgoing> retire(int successor) {
        List<Outgoing> out = new ArrayList<>();
        if (lifecycleState == State.HOLDING) {
            out.addAll(release());
            out.add(new Outgoing(successor, LeaseMessage.of(Kind.HANDOVER, leaseName, dispatcher, 0, ballot)));
        }
        lifecycleState = State.RETIRED;
        heldUntilMillis = Double.NEGATIVE_INFINITY;
        return out;
    }

    private List<Outgoing> release() {
        LeaseMessage release = LeaseMessage.of(Kind.RELEASE, leaseName, dispatcher, 0, ballot);
        return voters.stream().map(voter -> new Outgoing(voter, release)).toList();
    }

    /** Returns the messages that are due; must be called several times in each sixth of a lease duration. */
    List<Outgoing> tick(double nowMillis) {
        return switch (lifecycleState) {
            case RETIRED -> List.of();
            case WAITING -> tickWaiting(nowMillis);
            case HOLDING -> tickHolding(nowMillis);
            case QUERYING, PREPARING, ACCEPTING -> tickRequest(nowMillis);
        };
    }

    private List<Outgoing> tickWaiting(double nowMillis) {
        if (nowMillis < nextAttemptAtMillis) {
            return List.of();
        }
        lifecycleState = State.QUERYING;
        return startRequest(Kind.QUERY, nowMillis);
    }

    private List<Outgoing> tickHolding(double nowMillis) {
        if (nowMillis >= heldUntilMillis) {
            expire(nowMillis);
            return List.of();
        }
        boolean isUnanswered = proposedState != null || round.startedAtMillis() > confirmedAtMillis;
        double dueAfterMillis =
                parameters.leaseMillis() * (isUnanswered ? RENEWAL_RETRY_INTERVAL_LEASES : RENEWAL_INTERVAL_LEASES);
        return nowMillis - round.startedAtMillis() >= dueAfterMillis ? startRequest(Kind.ACCEPT, nowMillis) : List.of();
    }

    private List<Outgoing> tickRequest(double nowMillis) {
        double waitedMillis = nowMillis - round.startedAtMillis();
        double retryMillis = parameters.leaseMillis() * REQUEST_RETRY_INTERVAL_LEASES;
        if (round.transmissions() < MAX_TRANSMISSIONS && waitedMillis >= retryMillis * round.transmissions()) {
            return round.transmit();
        }
        if (waitedMillis >= retryMillis * MAX_TRANSMISSIONS) {
            backOffByRank(nowMillis);
        }
        return List.of();
    }

    /** Waits by rank, so that candidates that blocked each other try again at different times. */
    private void backOffByRank(double nowMillis) {
        scheduleNextAttempt(nowMillis + parameters.leaseMillis() * (rank + 1) / 4);
    }

    private void expire(double nowMillis) {
        scheduleNextAttempt(nowMillis + parameters.leaseMillis() * RENEWAL_INTERVAL_LEASES);
    }

    private void scheduleNextAttempt(double atMillis) {
        lifecycleState = State.WAITING;
        nextAttemptAtMillis = atMillis;
        heldUntilMillis = Double.NEGATIVE_INFINITY;
        proposedState = null;
    }

    private List<Outgoing> startRequest(Kind kind, double nowMillis) {
        LeaseMessage request = LeaseMessage.of(kind, leaseName, dispatcher, round.close(), ballot);
        if (kind == Kind.ACCEPT) {
            request = proposedState == null
                    ? request.withState(ballot, version, state)
                    : request.withState(ballot, version + 1, proposedState);
        }
        return round.start(request, nowMillis);
    }

    /** Handles a voter's answer or a handover, and returns the messages to send next. */
    List<Outgoing> handle(LeaseMessage message, double nowMillis) {
        highestBallot = Math.max(highestBallot, message.highestBallot());
        if (lifecycleState == State.RETIRED) {
            return List.of();
        }
        if (message.kind() == Kind.HANDOVER) {
            return handleHandover(message, nowMillis);
        }
        if (!voters.contains(message.sender())) {
            return List.of();
        }
        if (lifecycleState == State.HOLDING && nowMillis >= heldUntilMillis) {
            // A late answer must not renew an expired lease, or one fence would cover two separate periods of holding.
            expire(nowMillis);
        }
        if (!round.isAnsweredBy(message) || message.ballot() != ballot) {
            return List.of();
        }
        if (message.kind() == Kind.REFUSED) {
            handleRefusal(message, nowMillis);
            return List.of();
        }
        round.addAnswer(message);
        return round.answerCount() < parameters.majorityOf(voters.size())
                ? List.of()
                : handleMajority(message.kind(), nowMillis);
    }

    private List<Outgoing> handleHandover(LeaseMessage message, double nowMillis) {
        highestBallot = Math.max(highestBallot, message.ballot());
        return lifecycleState == State.HOLDING ? List.of() : prepareBallot(nowMillis);
    }

    private void handleRefusal(LeaseMessage message, double nowMillis) {
        if (lifecycleState == State.HOLDING) {
            // Another candidate has a higher ballot; this lease stays valid until it expires or a majority renews it.
            return;
        }
        double remainingGrantMillis = Math.max(message.remainingMillis(), parameters.leaseMillis() / 8);
        scheduleNextAttempt(nowMillis + remainingGrantMillis + rank * parameters.leaseMillis() / 8);
    }

    private List<Outgoing> handleMajority(Kind kind, double nowMillis) {
        if (lifecycleState == State.QUERYING && kind == Kind.AVAILABLE) {
            return prepareBallot(nowMillis);
        }
        if (lifecycleState == State.PREPARING && kind == Kind.PROMISED) {
            return adoptNewestState(nowMillis);
        }
        boolean isAccepting = lifecycleState == State.ACCEPTING || lifecycleState == State.HOLDING;
        if (isAccepting && kind == Kind.ACCEPTED) {
            confirmHolding(nowMillis);
        }
        return List.of();
    }

    private List<Outgoing> prepareBallot(double nowMillis) {
        lifecycleState = State.PREPARING;
        ballot = Ballot.of(Ballot.counter(highestBallot) + 1, incarnation, dispatcher);
        highestBallot = ballot;
        preparedAtMillis = nowMillis;
        return startRequest(Kind.PREPARE, nowMillis);
    }

    /** Proposes, under its own ballot, the newest state that a majority of voters has reported. */
    private List<Outgoing> adoptNewestState(double nowMillis) {
        long newestBallot = 0;
        version = 0;
        state = LeaseMessage.EMPTY_STATE;
        for (LeaseMessage answer : round.answers()) {
            boolean isNewer = answer.acceptedBallot() > newestBallot
                    || answer.acceptedBallot() == newestBallot && answer.version() > version;
            if (isNewer) {
                newestBallot = answer.acceptedBallot();
                version = answer.version();
                state = answer.state();
            }
        }
        lifecycleState = State.ACCEPTING;
        return startRequest(Kind.ACCEPT, nowMillis);
    }

    private void confirmHolding(double nowMillis) {
        if (lifecycleState == State.ACCEPTING && nowMillis - preparedAtMillis > parameters.leaseMillis()) {
            backOffByRank(nowMillis);
            return;
        }
        lifecycleState = State.HOLDING;
        // Measured from when the request was sent; the voters measure from when they received it, which is later.
        heldUntilMillis = Math.max(heldUntilMillis, round.startedAtMillis() + parameters.holderLeaseMillis());
        confirmedAtMillis = round.startedAtMillis();
        if (proposedState != null) {
            version++;
            state = proposedState;
            proposedState = null;
        }
        round.close();
    }
}
