package nettlewick.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;
import nettlewick.log.ComponentLogger;

/**
 * This dispatcher's role in one lease: competes for the lease if the dispatcher ranks high enough, announces the state
 * while the dispatcher holds the lease, follows the holder otherwise, and calls the lease's {@link LeaseTask}. Times
 * are milliseconds of the monotonic clock. Confined to the lease thread.
 */
final class ManagedLease {
    private static final ComponentLogger LOG = ComponentLogger.of("duty");
    /** How many dispatchers, by rank, compete for a lease; more candidates would only add traffic. */
    private static final int MAX_CANDIDATES = 8;

    private final String leaseName;
    private final LeaseSettings settings;
    private final int incarnation;
    private final LeaseTask task;
    private final Consumer<List<Outgoing>> messageSink;
    private final List<Integer> ranking;
    /** Null if this dispatcher ranks too low to compete for the lease. */
    private final LeaseCandidate candidate;

    private final LeaseFollower follower;
    private final AnnouncementSchedule announcements;
    private boolean isHeld;
    private long heldFence;

    /** @param messageSink receives the messages to send, in order */
    ManagedLease(
            String leaseName,
            LeaseSettings settings,
            int incarnation,
            LeaseTask task,
            Consumer<List<Outgoing>> messageSink,
            double nowMillis) {
        this.leaseName = leaseName;
        this.settings = settings;
        this.incarnation = incarnation;
        this.task = task;
        this.messageSink = messageSink;
        ranking = CandidateRanking.rank(leaseName, settings.dispatchers().size());
        follower = new LeaseFollower(leaseName, settings.dispatcher());
        announcements = new AnnouncementSchedule(settings.parameters().leaseMillis());
        int rank = ranking.indexOf(settings.dispatcher());
        candidate = rank < MAX_CANDIDATES
                ? new LeaseCandidate(
                        leaseName,
                        settings.dispatcher(),
                        incarnation,
                        settings.voters(),
                        settings.parameters(),
                        rank,
                        nowMillis)
                : null;
    }

    /** Whether this dispatcher holds the lease now. */
    boolean mayAct(double nowMillis) {
        return candidate != null && candidate.mayAct(nowMillis);
    }

    /** Releases the lease and competes for it again, since a resource has seen this higher fence. */
    void yieldToHigherFence(long fence, double nowMillis) {
        if (candidate != null) {
            messageSink.accept(candidate.yieldToHigherFence(fence, nowMillis));
        }
    }

    void tick(double nowMillis) {
        if (candidate != null) {
            messageSink.accept(candidate.tick(nowMillis));
        }
    }

    /** Handles a voter's answer, or a handover by the holder. */
    void handleCandidateMessage(LeaseMessage message, double nowMillis) {
        if (candidate != null) {
            messageSink.accept(candidate.handle(message, nowMillis));
        }
    }

    void handleAnnouncement(LeaseMessage message, double nowMillis) {
        if (mayAct(nowMillis)) {
            return;
        }
        messageSink.accept(follower.handle(message));
        if (follower.isUpToDate(message)) {
            task.onStoredState(
                    follower.fence(), follower.version(), follower.state(), message.requestsReports(), nowMillis);
        }
    }

    void handleStateRequest(LeaseMessage message, double nowMillis) {
        if (mayAct(nowMillis) && isHeld) {
            messageSink.accept(List.of(new Outgoing(message.sender(), announcement(true))));
        }
    }

    void handleReport(LeaseMessage message, double nowMillis) {
        if (mayAct(nowMillis)) {
            task.onReport(message.sender(), message.requestId(), message.state(), nowMillis);
        }
    }

    /** Sends the task's reports to the holder. */
    void sendReports(double nowMillis) {
        for (byte[] report : task.collectReports(follower.fence(), nowMillis)) {
            if (follower.hasHolder()) {
                LeaseMessage message = LeaseMessage.of(Kind.REPORT, leaseName, settings.dispatcher(), incarnation, 0)
                        .withState(0, 0, report);
                messageSink.accept(List.of(new Outgoing(follower.holder(), message)));
            }
        }
    }

    /** Notifies the task when the lease or its state has changed, and proposes the task's next state. */
    void update(double nowMillis) {
        if (candidate == null) {
            return;
        }
        boolean mayAct = candidate.mayAct(nowMillis);
        if (isHeld && (!mayAct || heldFence != candidate.fence())) {
            handleLoss();
        }
        if (!mayAct || candidate.isChangePending()) {
            return;
        }
        if (!isHeld || follower.version() != candidate.version()) {
            adoptStoredState(nowMillis);
        }
        if (announcements.isDue(task.requestsReports(), nowMillis)) {
            announce(nowMillis);
        }
        proposeNextState(nowMillis);
    }

    private void handleLoss() {
        isHeld = false;
        announcements.stop();
        LOG.info("duty-lost", "no longer holds " + leaseName, "duty", leaseName, "fence", heldFence);
        task.onLost();
    }

    private void adoptStoredState(double nowMillis) {
        isHeld = true;
        heldFence = candidate.fence();
        follower.recordOwnState(heldFence, candidate.version(), candidate.state());
        announcements.restart(nowMillis);
        task.onStoredState(heldFence, candidate.version(), candidate.state(), task.requestsReports(), nowMillis);
    }

    private void announce(double nowMillis) {
        LeaseMessage message = announcement(announcements.includesState());
        announcements.advance(task.isIdle(), nowMillis);
        List<Outgoing> out = new ArrayList<>();
        for (int recipient = 0; recipient < settings.dispatchers().size(); recipient++) {
            if (recipient != settings.dispatcher()) {
                out.add(new Outgoing(recipient, message));
            }
        }
        messageSink.accept(out);
        task.onStoredState(follower.fence(), follower.version(), follower.state(), task.requestsReports(), nowMillis);
    }

    private LeaseMessage announcement(boolean hasState) {
        long flags = (hasState ? LeaseMessage.FLAG_HAS_STATE : 0)
                | (task.requestsReports() ? LeaseMessage.FLAG_REPORTS_REQUESTED : 0);
        return LeaseMessage.of(Kind.ANNOUNCE, leaseName, settings.dispatcher(), flags, follower.fence())
                .withState(
                        follower.fence(), follower.version(), hasState ? follower.state() : LeaseMessage.EMPTY_STATE);
    }

    private void proposeNextState(double nowMillis) {
        byte[] next = task.proposeNextState(
                new LeaseTask.HeldLease(heldFence, candidate.version(), candidate.state(), nowMillis));
        if (next == null) {
            return;
        }
        if (next.length > MessageCodec.MAX_STATE_BYTES) {
            LOG.warning(
                    "state-too-long",
                    "discards the next state of " + leaseName + ", which is too long",
                    "duty",
                    leaseName,
                    "bytes",
                    next.length);
            return;
        }
        messageSink.accept(candidate.proposeChange(next, nowMillis));
    }

    /** Hands the lease over to the next dispatcher in its ranking; part of a graceful shutdown. */
    void handOver(double nowMillis) {
        if (candidate == null) {
            return;
        }
        int successor = ranking.get((ranking.indexOf(settings.dispatcher()) + 1) % ranking.size());
        if (candidate.mayAct(nowMillis)) {
            LOG.info(
                    "duty-handed-on",
                    "hands over " + leaseName,
                    "duty",
                    leaseName,
                    "fence",
                    candidate.fence(),
                    "to",
                    successor);
        }
        messageSink.accept(candidate.retire(successor));
    }
}
