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
 * Tracks which jobs wait for which predecessors and until when, and decides what follows when one finishes. Does no
 * I/O and reads no clock; times are arguments, in milliseconds. Each call returns its effects in order; the caller
 * carries them out, and calls {@link #onTimer} at the requested times. Confined to one thread.
 *
 * <p>Dependencies are between names of one tenant, not between jobs: a name may have no job yet, or a result that only
 * a peer has reported.
 */
public final class DependencyTracker {
    /** What happens to a job if a predecessor failed, was cancelled, or did not finish in time. */
    public enum OnFailure {
        /** The job fails. */
        FAIL,
        /** The job is released all the same. */
        RUN,
        /** The job is skipped, which counts as success for its successors. */
        SKIP
    }

    /** The result of a released job. REFUSED frees its name without a result: the job may be submitted again. */
    public enum Result {
        SUCCEEDED,
        FAILED,
        REFUSED
    }

    /** The name of a job of a tenant; the names of other tenants are not visible to it. */
    public record JobName(String tenant, String name) {}

    /**
     * The conditions under which a job is released. Stored as JSON, so the JSON names are fixed.
     *
     * @param name         the job's own name, or null
     * @param predecessors the names of the jobs that have to finish first
     * @param notBefore    the earliest start; 0 for at once
     * @param waitUntil    when it stops waiting
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

    /** Limits; a job that exceeds one is rejected. */
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

    /** What the caller has to do. */
    public sealed interface Effect permits Ready, Finished, Timer {}

    /** The job waits for nothing more: the caller adds it to the {@link ReleaseQueue}. */
    public record Ready(String id) implements Effect {}

    /**
     * The job is finished without a release. {@code cause} is meant for people and names the predecessor, if there is
     * one.
     */
    public record Finished(String id, WaitOutcome outcome, String cause) implements Effect {}

    /** The caller calls {@link #onTimer} for the job at this time. */
    public record Timer(String id, double at) implements Effect {}

    /** The outcome of a job that was never released. */
    public enum WaitOutcome {
        FAILED,
        SKIPPED,
        CANCELLED,
        EXPIRED
    }

    /** Why a job is not accepted; {@code retryable} if the same job may be accepted later. */
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
    /** The jobs that wait for a name, in the order in which they were accepted. */
    private final Map<JobName, Set<Node>> successors = new HashMap<>();
    /** By tenant, the results of names, the oldest first; true for a success. */
    private final Map<String, LinkedHashMap<String, Boolean>> resultsByTenant = new HashMap<>();

    private final Map<String, int[]> jobCounts = new HashMap<>();
    private final Map<String, long[]> byteCounts = new HashMap<>();
    private long totalBytes;

    public DependencyTracker(Limits limits) {
        this.limits = limits;
    }

    /** Accepts a job to wait. A rejected job changes nothing. */
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
        jobCounts.computeIfAbsent(spec.tenant(), tenant -> new int[1])[0]++;
        byteCounts.computeIfAbsent(spec.tenant(), tenant -> new long[1])[0] += spec.bytes();
        totalBytes += spec.bytes();
        if (node.name != null) {
            jobsByName.put(node.name, node);
            // Later successors of a name that is used again wait for its new result.
            resultsByTenant(spec.tenant()).remove(spec.name());
        }
        node.pendingPredecessors.forEach(name ->
                successors.computeIfAbsent(name, key -> new LinkedHashSet<>()).add(node));
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
            throw new RejectedException("a job with this id is already waiting", false);
        }
        if (spec.name() != null && jobsByName.containsKey(new JobName(spec.tenant(), spec.name()))) {
            throw new RejectedException("a job with the name " + spec.name() + " already exists", false);
        }
        if (new HashSet<>(spec.predecessors()).size() != spec.predecessors().size()) {
            throw new RejectedException("the predecessors contain a name twice", false);
        }
        if (spec.predecessors().size() > limits.maxPredecessors()) {
            throw new RejectedException("the job has more than " + limits.maxPredecessors() + " predecessors", false);
        }
        if (spec.waitUntil() <= now || spec.notBefore() >= spec.waitUntil()) {
            throw new RejectedException("the wait time would end before the earliest start", false);
        }
        if (spec.waitUntil() - now > limits.maxWaitMillis()) {
            throw new RejectedException(
                    "the job would wait longer than " + (long) limits.maxWaitMillis() + " ms", false);
        }
        checkChain(spec);
        if (jobsById.size() >= limits.maxJobs() || totalBytes + spec.bytes() > limits.maxBytes()) {
            throw new RejectedException("the limit of waiting jobs or of their total size is reached", true);
        }
        if (jobCounts.getOrDefault(spec.tenant(), new int[1])[0] >= limits.maxJobsPerTenant()
                || byteCounts.getOrDefault(spec.tenant(), new long[1])[0] + spec.bytes() > limits.maxBytesPerTenant()) {
            throw new RejectedException("the tenant's limit of waiting jobs or of their total size is reached", true);
        }
        for (String predecessor : spec.predecessors()) {
            if (successors
                            .getOrDefault(new JobName(spec.tenant(), predecessor), Set.of())
                            .size()
                    >= limits.maxSuccessors()) {
                throw new RejectedException(
                        "the limit of " + limits.maxSuccessors() + " jobs that wait for " + predecessor + " is reached",
                        true);
            }
        }
    }

    /** Visits all transitive predecessors of a new job, level by level: recursion would overflow the stack. */
    private void checkChain(JobSpec spec) throws RejectedException {
        Set<JobName> seen = new HashSet<>();
        Deque<JobName> level = new ArrayDeque<>();
        spec.predecessors().forEach(predecessor -> level.add(new JobName(spec.tenant(), predecessor)));
        for (int depth = 1; !level.isEmpty(); depth++) {
            if (depth > limits.maxDepth()) {
                throw new RejectedException("the chain of predecessors is longer than " + limits.maxDepth(), false);
            }
            for (int remaining = level.size(); remaining > 0; remaining--) {
                JobName name = level.poll();
                if (spec.name() != null && name.equals(new JobName(spec.tenant(), spec.name()))) {
                    throw new RejectedException("the job would wait for itself through " + name.name(), false);
                }
                Node node = jobsByName.get(name);
                if (node != null && seen.add(name)) {
                    level.addAll(node.pendingPredecessors);
                }
            }
        }
    }

    /** The time of a {@link Timer} is reached. */
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

    /** A released job is finished. */
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

    /** A job of this name is finished at another dispatcher. */
    public List<Effect> peerReported(JobName name, boolean succeeded, double now) {
        List<Effect> effects = new ArrayList<>();
        if (!jobsByName.containsKey(name)) {
            propagate(name, succeeded, "failed elsewhere", now, effects);
        }
        return effects;
    }

    /** Cancels a job for its client or an operator; without effects if it is unknown or was released. */
    public List<Effect> cancel(String id, double now) {
        List<Effect> effects = new ArrayList<>();
        Node node = jobsById.get(id);
        if (node != null && !node.released) {
            finishUnreleased(node, WaitOutcome.CANCELLED, "it was cancelled", now, effects);
        }
        return effects;
    }

    /** Holds a job for an operator, or lets it continue; false if it does not wait here. */
    public boolean hold(String id, boolean held, double now, List<Effect> effects) {
        Node node = jobsById.get(id);
        if (node == null || node.released) {
            return false;
        }
        node.held = held;
        releaseIfReady(node, now, effects);
        return true;
    }

    /** The names that a job still waits for. */
    public List<String> pendingPredecessors(String id) {
        Node node = jobsById.get(id);
        return node == null
                ? List.of()
                : node.pendingPredecessors.stream().map(JobName::name).toList();
    }

    /** The names that jobs here wait for and that have no job here: peers are asked for their results. */
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
     * Finishes a job that was never released, and its successors as their policies demand. A skipped job counts as a
     * success for its successors.
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

    /** Works off a queue: a chain of thousands of jobs finishes in one call, and recursion would overflow the stack. */
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

    /** Keeps only the first and the last cause: in a long chain each would contain all before it. */
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
