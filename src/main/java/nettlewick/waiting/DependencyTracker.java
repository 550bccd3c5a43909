package nettlewick.waiting;

import com.google.gson.annotations.SerializedName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which jobs wait on which names and until when, and what follows when one ends. Does no I/O and reads no
 * clock;
 * times are in milliseconds and are handed in. Each call returns its effects in order; whoever holds the plan
 * carries them out, and calls {@link #wake} at the times it was asked for. Belongs to one thread.
 *
 * <p>Edges run between names of one member, not between jobs: a name may have no job yet, or an end of which
 * only
 * a peer has told.
 */
public final class DependencyTracker {
    /** What a job does where one that it waits on failed, was cancelled, or did not come in time. */
    public enum OnFailure {
        FAIL,
        RUN,
        SKIP
    }

    /** How a job that was released ended. REFUSED frees its name without an end: it may come again. */
    public enum Result {
        SUCCEEDED,
        FAILED,
        REFUSED
    }

    /** A name of a member's; nobody else's names are visible to it. */
    public record JobName(String tenant, String name) {}

    /**
     * What a job asks for.
     *
     * @param name      its own, or null
     * @param after     the names that it comes after
     * @param notBefore when it may start at the earliest; 0 for at once
     * @param until     when it stops waiting
     */
    public record JobSpec(
            String id,
            @SerializedName("member") String tenant,
            String name,
            @SerializedName("after") List<String> predecessors,
            double notBefore,
            @SerializedName("until") double waitUntil,
            OnFailure onFailure,
            int bytes) {
        public JobSpec {
            predecessors = List.copyOf(predecessors);
        }
    }

    /** Bounds; what passes one is refused. */
    public record Limits(
            int maxJobs,
            int maxJobsPerTenant,
            long maxBytes,
            long maxBytesPerTenant,
            int maxPredecessors,
            int maxSuccessors,
            int maxDepth,
            double maxWaitMillis,
            int maxResultsPerTenant) {}

    /** What is to be done. */
    public sealed interface Effect permits Ready, Finished, Timer {}

    /** It waits for nothing any more: it goes to the gate. */
    public record Ready(String id) implements Effect {}

    /**
     * Its final answer: it never ran. {@code cause} is for people and names the predecessor, where there is
     * one.
     */
    public record Finished(String id, WaitOutcome outcome, String cause) implements Effect {}

    /** {@link #wake} is to be called for it at that time. */
    public record Timer(String id, double at) implements Effect {}

    /** How a job ended that was never handed in. */
    public enum WaitOutcome {
        FAILED,
        SKIPPED,
        CANCELLED,
        EXPIRED
    }

    /** Why a job is not accepted; {@code full}: it may come again later, as it is. */
    public static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1;
        private final boolean retryable;

        RejectedException(String message, boolean retryable) {
            super(message);
            this.retryable = retryable;
        }

        public boolean retryable() {
            return retryable;
        }
    }

    private static final class Node {
        final JobSpec spec;
        final JobName name;
        final Set<JobName> pendingPredecessors = new LinkedHashSet<>();
        boolean released;
        boolean held;

        Node(JobSpec spec) {
            this.spec = spec;
            name = spec.name() == null ? null : new JobName(spec.tenant(), spec.name());
        }
    }

    private static final String CAUSE_SEPARATOR = ", since ";
    private static final String ROOT_CAUSE_PREFIX = "in the end ";

    private final Limits limits;
    private final Map<String, Node> jobsById = new HashMap<>();
    private final Map<JobName, Node> jobsByName = new HashMap<>();
    /** Those that wait on a name, in the order in which they came. */
    private final Map<JobName, Set<Node>> successors = new HashMap<>();
    /** By member: ends of names, the oldest first; true where it succeeded. */
    private final Map<String, LinkedHashMap<String, Boolean>> resultsByTenant = new HashMap<>();

    private final Map<String, int[]> jobCounts = new HashMap<>();
    private final Map<String, long[]> byteCounts = new HashMap<>();
    private long totalBytes;

    public DependencyTracker(Limits limits) {
        this.limits = limits;
    }

    /** Accepts a job to wait; RejectedException says why not, and then nothing has changed. */
    public List<Effect> accept(JobSpec spec, double now) throws RejectedException {
        checkAcceptable(spec, now);
        Node node = new Node(spec);
        List<Effect> effects = new ArrayList<>();
        JobName failedPredecessor = null;
        for (String predecessor : spec.predecessors()) {
            JobName name = new JobName(spec.tenant(), predecessor);
            Boolean succeeded = jobsByName.containsKey(name)
                    ? null
                    : resultsByTenant(spec.tenant()).get(predecessor);
            if (succeeded == null) {
                node.pendingPredecessors.add(name);
            } else if (!succeeded) {
                failedPredecessor = failedPredecessor == null ? name : failedPredecessor;
            }
        }
        jobsById.put(spec.id(), node);
        jobCounts.computeIfAbsent(spec.tenant(), m -> new int[1])[0]++;
        byteCounts.computeIfAbsent(spec.tenant(), m -> new long[1])[0] += spec.bytes();
        totalBytes += spec.bytes();
        if (node.name != null) {
            jobsByName.put(node.name, node);
            // A name that comes again waits for its new end.
            resultsByTenant(spec.tenant()).remove(spec.name());
        }
        node.pendingPredecessors.forEach(name ->
                successors.computeIfAbsent(name, n -> new LinkedHashSet<>()).add(node));
        effects.add(new Timer(spec.id(), spec.waitUntil()));
        if (spec.notBefore() > now) {
            effects.add(new Timer(spec.id(), spec.notBefore()));
        }
        if (failedPredecessor != null && spec.onFailure() != OnFailure.RUN) {
            finishUnreleased(
                    node, outcomeOnFailure(spec), cause(failedPredecessor, "failed before it came"), now, effects);
        } else {
            releaseIfReady(node, now, effects);
        }
        return effects;
    }

    private void checkAcceptable(JobSpec spec, double now) throws RejectedException {
        if (jobsById.containsKey(spec.id())) {
            throw new RejectedException("a job with this id waits already", false);
        }
        if (spec.name() != null && jobsByName.containsKey(new JobName(spec.tenant(), spec.name()))) {
            throw new RejectedException("a job called " + spec.name() + " is there already", false);
        }
        if (new HashSet<>(spec.predecessors()).size() != spec.predecessors().size()) {
            throw new RejectedException("a name stands twice among those that it comes after", false);
        }
        if (spec.predecessors().size() > limits.maxPredecessors()) {
            throw new RejectedException("it comes after more than " + limits.maxPredecessors() + " names", false);
        }
        if (spec.waitUntil() <= now || spec.notBefore() >= spec.waitUntil()) {
            throw new RejectedException("it would stop waiting before it may start", false);
        }
        if (spec.waitUntil() - now > limits.maxWaitMillis()) {
            throw new RejectedException("it would wait longer than " + (long) limits.maxWaitMillis() + " ms", false);
        }
        checkChain(spec);
        if (jobsById.size() >= limits.maxJobs() || totalBytes + spec.bytes() > limits.maxBytes()) {
            throw new RejectedException("too much waits here now", true);
        }
        if (jobCounts.getOrDefault(spec.tenant(), new int[1])[0] >= limits.maxJobsPerTenant()
                || byteCounts.getOrDefault(spec.tenant(), new long[1])[0] + spec.bytes() > limits.maxBytesPerTenant()) {
            throw new RejectedException("too much of this member's waits here now", true);
        }
        for (String predecessor : spec.predecessors()) {
            if (successors
                            .getOrDefault(new JobName(spec.tenant(), predecessor), Set.of())
                            .size()
                    >= limits.maxSuccessors()) {
                throw new RejectedException(
                        "more than " + limits.maxSuccessors() + " jobs wait on " + predecessor, true);
            }
        }
    }

    /** Walks from the new job to all that it comes after, level by level. Danger: never by recursion. */
    private void checkChain(JobSpec spec) throws RejectedException {
        Set<JobName> seen = new HashSet<>();
        Deque<JobName> level = new ArrayDeque<>();
        spec.predecessors().forEach(predecessor -> level.add(new JobName(spec.tenant(), predecessor)));
        for (int depth = 1; !level.isEmpty(); depth++) {
            if (depth > limits.maxDepth()) {
                throw new RejectedException("its chain is longer than " + limits.maxDepth(), false);
            }
            for (int remaining = level.size(); remaining > 0; remaining--) {
                JobName name = level.poll();
                if (spec.name() != null && name.equals(new JobName(spec.tenant(), spec.name()))) {
                    throw new RejectedException("it would wait on itself, by way of " + name.name(), false);
                }
                Node node = jobsByName.get(name);
                if (node != null && seen.add(name)) {
                    level.addAll(node.pendingPredecessors);
                }
            }
        }
    }

    /** A time that was asked for has come. */
    public List<Effect> onTimer(String id, double now) {
        List<Effect> effects = new ArrayList<>();
        Node node = jobsById.get(id);
        if (node == null || node.released) {
            return effects;
        }
        if (now >= node.spec.waitUntil()) {
            if (node.pendingPredecessors.isEmpty()) {
                finishUnreleased(
                        node,
                        WaitOutcome.EXPIRED,
                        node.held ? "it was held until its time was over" : "its time was over",
                        now,
                        effects);
            } else {
                JobName missing = node.pendingPredecessors.iterator().next();
                if (node.spec.onFailure() == OnFailure.RUN) {
                    clearPendingPredecessors(node);
                    release(node, effects);
                } else {
                    finishUnreleased(
                            node, outcomeOnFailure(node.spec), cause(missing, "did not end in time"), now, effects);
                }
            }
        } else {
            releaseIfReady(node, now, effects);
        }
        return effects;
    }

    /** A job that was released has ended. */
    public List<Effect> jobFinished(String id, Result result, double now) {
        List<Effect> effects = new ArrayList<>();
        Node node = jobsById.get(id);
        if (node != null && node.released) {
            removeJob(node);
            if (node.name != null && result != Result.REFUSED) {
                propagate(node.name, result == Result.SUCCEEDED, "failed", now, effects);
            }
        }
        return effects;
    }

    /** A job of that name has ended at another dispatcher. */
    public List<Effect> peerReported(JobName name, boolean succeeded, double now) {
        List<Effect> effects = new ArrayList<>();
        if (!jobsByName.containsKey(name)) {
            propagate(name, succeeded, "failed elsewhere", now, effects);
        }
        return effects;
    }

    /** Its client, or an operator, calls it off; false effects where it is not here or was released. */
    public List<Effect> cancel(String id, double now) {
        List<Effect> effects = new ArrayList<>();
        Node node = jobsById.get(id);
        if (node != null && !node.released) {
            finishUnreleased(node, WaitOutcome.CANCELLED, "it was cancelled", now, effects);
        }
        return effects;
    }

    /** An operator keeps a job back, or lets it go on; true if it waits here. */
    public boolean hold(String id, boolean held, double now, List<Effect> effects) {
        Node node = jobsById.get(id);
        if (node == null || node.released) {
            return false;
        }
        node.held = held;
        releaseIfReady(node, now, effects);
        return true;
    }

    /** What a job still waits on. */
    public List<String> pendingPredecessors(String id) {
        Node node = jobsById.get(id);
        return node == null
                ? List.of()
                : node.pendingPredecessors.stream().map(JobName::name).toList();
    }

    /** The names that a member's jobs here wait on and that have no job here: peers are asked for them. */
    public List<JobName> namesWithoutJob() {
        return successors.keySet().stream()
                .filter(name -> !jobsByName.containsKey(name))
                .toList();
    }

    public int size() {
        return jobsById.size();
    }

    private void releaseIfReady(Node node, double now, List<Effect> effects) {
        if (node.pendingPredecessors.isEmpty() && !node.held && !node.released && now >= node.spec.notBefore()) {
            release(node, effects);
        }
    }

    private static void release(Node node, List<Effect> effects) {
        node.released = true;
        effects.add(new Ready(node.spec.id()));
    }

    private static WaitOutcome outcomeOnFailure(JobSpec spec) {
        return spec.onFailure() == OnFailure.SKIP ? WaitOutcome.SKIPPED : WaitOutcome.FAILED;
    }

    private static String cause(JobName name, String event) {
        return name.name() + " " + event;
    }

    private void clearPendingPredecessors(Node node) {
        for (JobName name : node.pendingPredecessors) {
            Set<Node> waitingJobs = successors.get(name);
            waitingJobs.remove(node);
            if (waitingJobs.isEmpty()) {
                successors.remove(name);
            }
        }
        node.pendingPredecessors.clear();
    }

    private void removeJob(Node node) {
        clearPendingPredecessors(node);
        jobsById.remove(node.spec.id());
        if (node.name != null) {
            jobsByName.remove(node.name);
        }
        String tenant = node.spec.tenant();
        totalBytes -= node.spec.bytes();
        byteCounts.get(tenant)[0] -= node.spec.bytes();
        if (--jobCounts.get(tenant)[0] == 0) {
            jobCounts.remove(tenant);
            byteCounts.remove(tenant);
        }
    }

    /**
     * Ends a job that never ran, and what follows from that. A skipped one counts as succeeded for others.
     */
    private void finishUnreleased(Node first, WaitOutcome outcome, String cause, double now, List<Effect> effects) {
        Deque<Node> queue = new ArrayDeque<>();
        Deque<Finished> finished = new ArrayDeque<>();
        queue.add(first);
        finished.add(new Finished(first.spec.id(), outcome, cause));
        finishAll(queue, finished, now, effects);
    }

    private void propagate(JobName name, boolean succeeded, String event, double now, List<Effect> effects) {
        Deque<Node> queue = new ArrayDeque<>();
        Deque<Finished> finished = new ArrayDeque<>();
        recordResult(name, succeeded, event, now, queue, finished, effects);
        finishAll(queue, finished, now, effects);
    }

    /** Danger: a chain of thousands ends here in one call; by recursion it would end the thread's stack. */
    private void finishAll(Deque<Node> queue, Deque<Finished> finished, double now, List<Effect> effects) {
        while (!queue.isEmpty()) {
            Node node = queue.poll();
            Finished ended = finished.poll();
            if (jobsById.get(node.spec.id()) != node) {
                continue;
            }
            removeJob(node);
            effects.add(ended);
            if (node.name != null) {
                boolean succeeded = ended.outcome() == WaitOutcome.SKIPPED;
                String event = switch (ended.outcome()) {
                    case CANCELLED -> "was cancelled";
                    case EXPIRED -> "was not run in time";
                    default -> "failed, since " + ended.cause();
                };
                recordResult(node.name, succeeded, event, now, queue, finished, effects);
            }
        }
    }

    private void recordResult(
            JobName name,
            boolean succeeded,
            String event,
            double now,
            Deque<Node> queue,
            Deque<Finished> finished,
            List<Effect> effects) {
        LinkedHashMap<String, Boolean> results = resultsByTenant(name.tenant());
        results.remove(name.name());
        results.put(name.name(), succeeded);
        if (results.size() > limits.maxResultsPerTenant()) {
            results.remove(results.keySet().iterator().next());
        }
        Set<Node> waitingJobs = successors.remove(name);
        if (waitingJobs == null) {
            return;
        }
        for (Node node : waitingJobs) {
            node.pendingPredecessors.remove(name);
            if (succeeded || node.spec.onFailure() == OnFailure.RUN) {
                releaseIfReady(node, now, effects);
            } else {
                queue.add(node);
                finished.add(
                        new Finished(node.spec.id(), outcomeOnFailure(node.spec), shortenCause(cause(name, event))));
            }
        }
    }

    /** Through a long chain each cause would hold all before it. */
    private static String shortenCause(String cause) {
        int first = cause.indexOf(CAUSE_SEPARATOR);
        int last = cause.lastIndexOf(CAUSE_SEPARATOR);
        if (first == last) {
            return cause;
        }
        String rootCause = cause.substring(last + CAUSE_SEPARATOR.length());
        return cause.substring(0, first)
                + CAUSE_SEPARATOR
                + (rootCause.startsWith(ROOT_CAUSE_PREFIX) ? "" : ROOT_CAUSE_PREFIX)
                + rootCause;
    }

    private LinkedHashMap<String, Boolean> resultsByTenant(String tenant) {
        return resultsByTenant.computeIfAbsent(tenant, m -> new LinkedHashMap<>());
    }
}
