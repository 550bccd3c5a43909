package nettlewick.lease;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import nettlewick.lease.LeaseMessage.Outgoing;
import nettlewick.log.ComponentLogger;

/**
 * Runs the lease thread, which owns the socket, the voter and each {@link ManagedLease} of this dispatcher, and passes
 * messages between them. The work under a lease is done by its {@link LeaseTask}.
 */
public final class LeaseService implements AutoCloseable, LeaseTask.LeaseControl {
    private static final ComponentLogger LOG = ComponentLogger.of("duty");
    private static final double TICKS_PER_LEASE = 30;
    private static final double REPORTS_PER_LEASE = 3;
    private static final int SHUTDOWN_TIMEOUT_MILLIS = 2000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final LeaseSettings settings;
    private final LeaseTransport transport;
    /** Null if this dispatcher does not vote. */
    private final PersistentVoter voter;

    private final Map<String, LeaseTask> tasks;
    private final Map<String, ManagedLease> leases = new LinkedHashMap<>();
    private final Queue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::runEventLoop, "lease");
    private double nextReportsAtMillis;
    private volatile boolean isClosing;

    /**
     * Starts the lease thread.
     *
     * @param tasks by lease name; leases of the settings that are not in this map only count their terms
     * @throws IOException if the address cannot be bound or the voter's folder cannot be used
     */
    public static LeaseService start(LeaseSettings settings, Map<String, LeaseTask> tasks) throws IOException {
        LeaseService service = new LeaseService(settings, tasks);
        service.thread.setDaemon(true);
        service.thread.start();
        return service;
    }

    private LeaseService(LeaseSettings settings, Map<String, LeaseTask> configuredTasks) throws IOException {
        this.settings = settings;
        int incarnation = new SecureRandom().nextInt(Ballot.INCARNATION_LIMIT);
        boolean isVoter = settings.voters().contains(settings.dispatcher());
        voter = isVoter ? new PersistentVoter(settings, nowMillis(), incarnation) : null;
        tasks = new LinkedHashMap<>(configuredTasks);
        settings.leaseNames().forEach(name -> tasks.putIfAbsent(name, new TermCounter(name)));
        tasks.forEach((name, task) ->
                leases.put(name, new ManagedLease(name, settings, incarnation, task, this::send, nowMillis())));
        transport = new LeaseTransport(settings, incarnation);
    }

    private static double nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private void runEventLoop() {
        long tickMillis = (long) Math.max(1, settings.parameters().leaseMillis() / TICKS_PER_LEASE);
        try {
            double nextTickAtMillis = nowMillis();
            tasks.values().forEach(task -> task.start(this));
            while (!isClosing) {
                transport.await(tickMillis);
                transport.receive(this::handle);
                runSubmitted();
                if (nowMillis() >= nextTickAtMillis) {
                    nextTickAtMillis = nowMillis() + tickMillis;
                    tick();
                }
                leases.values().forEach(lease -> runGuarded(() -> lease.update(nowMillis())));
            }
            shutDown();
        } catch (IOException e) {
            LOG.warning("duties-end", "the lease service stops: " + e.getMessage());
        }
    }

    private void runSubmitted() {
        for (Runnable task = submittedTasks.poll(); task != null; task = submittedTasks.poll()) {
            runGuarded(task);
        }
    }

    /** Catches exceptions, since a fault in one lease's task must not stop the thread that votes on all leases. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("duty-failed", "the task of a lease failed", e);
        }
    }

    @Override
    public void execute(Runnable task) {
        submittedTasks.add(task);
        transport.wakeUp();
    }

    @Override
    public boolean mayAct(String leaseName) {
        ManagedLease lease = leases.get(leaseName);
        return lease != null && lease.mayAct(nowMillis());
    }

    @Override
    public void yieldToHigherFence(String leaseName, long fence) {
        withLease(leaseName, lease -> lease.yieldToHigherFence(fence, nowMillis()));
    }

    private void handle(LeaseMessage message) {
        if (message.isForVoter()) {
            if (voter != null) {
                send(voter.handle(message, nowMillis()));
            }
            return;
        }
        withLease(message.leaseName(), lease -> handleForLease(lease, message));
    }

    private static void handleForLease(ManagedLease lease, LeaseMessage message) {
        switch (message.kind()) {
            case ANNOUNCE -> runGuarded(() -> lease.handleAnnouncement(message, nowMillis()));
            case REQUEST_STATE -> lease.handleStateRequest(message, nowMillis());
            case REPORT -> runGuarded(() -> lease.handleReport(message, nowMillis()));
            default -> lease.handleCandidateMessage(message, nowMillis());
        }
    }

    private void withLease(String leaseName, Consumer<ManagedLease> action) {
        ManagedLease lease = leases.get(leaseName);
        if (lease != null) {
            action.accept(lease);
        }
    }

    private void tick() {
        if (voter != null) {
            send(voter.tick(nowMillis()));
        }
        leases.values().forEach(lease -> lease.tick(nowMillis()));
        if (nowMillis() >= nextReportsAtMillis) {
            nextReportsAtMillis = nowMillis() + settings.parameters().leaseMillis() / REPORTS_PER_LEASE;
            leases.values().forEach(lease -> lease.sendReports(nowMillis()));
        }
    }

    /** Sends messages; those to this dispatcher itself are handled at once, without the socket. */
    private void send(List<Outgoing> messages) {
        for (Outgoing outgoing : messages) {
            if (outgoing.recipient() == settings.dispatcher()) {
                handle(outgoing.message());
            } else {
                transport.send(outgoing.recipient(), outgoing.message());
            }
        }
    }

    private void shutDown() throws IOException {
        leases.values().forEach(lease -> lease.handOver(nowMillis()));
        transport.close();
        if (voter != null) {
            voter.close();
        }
    }

    /** Graceful shutdown: hands over the leases that are held and waits for the thread to end, two seconds at most. */
    @Override
    public void close() {
        isClosing = true;
        transport.wakeUp();
        try {
            thread.join(SHUTDOWN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        transport.logDiscarded();
    }
}
