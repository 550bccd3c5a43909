package nettlewick.waiting;

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
public final class Plan {
    /** What a job does where one that it waits on failed, was cancelled, or did not come in time. */
    public enum OnFailure {
        FAIL,
        RUN,
        SKIP
    }

    /** How a job that was released ended. REFUSED frees its name without an end: it may come again. */
    public enum End {
        SUCCEEDED,
        FAILED,
        REFUSED
    }

    /** A name of a member's; nobody else's names are visible to it. */
    public record Name(String member, String text) {}

    /**
     * What a job asks for.
     *
     * @param name      its own, or null
     * @param after     the names that it comes after
     * @param notBefore when it may start at the earliest; 0 for at once
     * @param until     when it stops waiting
     */
    public record Ask(
            String id,
            String member,
            String name,
            List<String> after,
            double notBefore,
            double until,
            OnFailure onFailure,
            int bytes) {
        public Ask {
            after = List.copyOf(after);
        }
    }

    /** Bounds; what passes one is refused. */
    public record Limits(
            int jobs,
            int jobsOfMember,
            long bytes,
            long bytesOfMember,
            int after,
            int followers,
            int depth,
            double ahead,
            int endsOfMember) {}

    /** What is to be done. */
    public sealed interface Effect permits Ready, Done, Wake {}

    /** It waits for nothing any more: it goes to the gate. */
    public record Ready(String id) implements Effect {}

    /**
     * Its final answer: it never ran. {@code cause} is for people and names the predecessor, where there is
     * one.
     */
    public record Done(String id, Fate fate, String cause) implements Effect {}

    /** {@link #wake} is to be called for it at that time. */
    public record Wake(String id, double at) implements Effect {}

    /** How a job ended that was never handed in. */
    public enum Fate {
        FAILED,
        SKIPPED,
        CANCELLED,
        EXPIRED
    }

    /** Why a job is not accepted; {@code full}: it may come again later, as it is. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1;
        private final boolean full;

        Refused(String message, boolean full) {
            super(message);
            this.full = full;
        }

        public boolean full() {
            return full;
        }
    }

    private static final class Node {
        final Ask ask;
        final Name name;
        final Set<Name> open = new LinkedHashSet<>();
        boolean ready;
        boolean held;

        Node(Ask ask) {
            this.ask = ask;
            name = ask.name() == null ? null : new Name(ask.member(), ask.name());
        }
    }

    private static final String SINCE = ", since ";
    private static final String AT_ROOT = "in the end ";

    private final Limits limits;
    private final Map<String, Node> jobs = new HashMap<>();
    private final Map<Name, Node> named = new HashMap<>();
    /** Those that wait on a name, in the order in which they came. */
    private final Map<Name, Set<Node>> followers = new HashMap<>();
    /** By member: ends of names, the oldest first; true where it succeeded. */
    private final Map<String, LinkedHashMap<String, Boolean>> ends = new HashMap<>();

    private final Map<String, int[]> counts = new HashMap<>();
    private final Map<String, long[]> sizes = new HashMap<>();
    private long bytes;

    public Plan(Limits limits) {
        this.limits = limits;
    }

    /** Accepts a job to wait; Refused says why not, and then nothing has changed. */
    public List<Effect> accept(Ask ask, double now) throws Refused {
        check(ask, now);
        Node node = new Node(ask);
        List<Effect> effects = new ArrayList<>();
        Name failed = null;
        for (String text : ask.after()) {
            Name name = new Name(ask.member(), text);
            Boolean end = named.containsKey(name) ? null : ends(ask.member()).get(text);
            if (end == null) {
                node.open.add(name);
            } else if (!end) {
                failed = failed == null ? name : failed;
            }
        }
        jobs.put(ask.id(), node);
        counts.computeIfAbsent(ask.member(), m -> new int[1])[0]++;
        sizes.computeIfAbsent(ask.member(), m -> new long[1])[0] += ask.bytes();
        bytes += ask.bytes();
        if (node.name != null) {
            named.put(node.name, node);
            // A name that comes again waits for its new end.
            ends(ask.member()).remove(ask.name());
        }
        node.open.forEach(name ->
                followers.computeIfAbsent(name, n -> new LinkedHashSet<>()).add(node));
        effects.add(new Wake(ask.id(), ask.until()));
        if (ask.notBefore() > now) {
            effects.add(new Wake(ask.id(), ask.notBefore()));
        }
        if (failed != null && ask.onFailure() != OnFailure.RUN) {
            finish(node, fate(ask), why(failed, "failed before it came"), now, effects);
        } else {
            look(node, now, effects);
        }
        return effects;
    }

    private void check(Ask ask, double now) throws Refused {
        if (jobs.containsKey(ask.id())) {
            throw new Refused("a job with this id waits already", false);
        }
        if (ask.name() != null && named.containsKey(new Name(ask.member(), ask.name()))) {
            throw new Refused("a job called " + ask.name() + " is there already", false);
        }
        if (new HashSet<>(ask.after()).size() != ask.after().size()) {
            throw new Refused("a name stands twice among those that it comes after", false);
        }
        if (ask.after().size() > limits.after()) {
            throw new Refused("it comes after more than " + limits.after() + " names", false);
        }
        if (ask.until() <= now || ask.notBefore() >= ask.until()) {
            throw new Refused("it would stop waiting before it may start", false);
        }
        if (ask.until() - now > limits.ahead()) {
            throw new Refused("it would wait longer than " + (long) limits.ahead() + " ms", false);
        }
        cycle(ask);
        if (jobs.size() >= limits.jobs() || bytes + ask.bytes() > limits.bytes()) {
            throw new Refused("too much waits here now", true);
        }
        if (counts.getOrDefault(ask.member(), new int[1])[0] >= limits.jobsOfMember()
                || sizes.getOrDefault(ask.member(), new long[1])[0] + ask.bytes() > limits.bytesOfMember()) {
            throw new Refused("too much of this member's waits here now", true);
        }
        for (String text : ask.after()) {
            if (followers.getOrDefault(new Name(ask.member(), text), Set.of()).size() >= limits.followers()) {
                throw new Refused("more than " + limits.followers() + " jobs wait on " + text, true);
            }
        }
    }

    /** Walks from the new job to all that it comes after, level by level. Danger: never by recursion. */
    private void cycle(Ask ask) throws Refused {
        Set<Name> seen = new HashSet<>();
        Deque<Name> level = new ArrayDeque<>();
        ask.after().forEach(text -> level.add(new Name(ask.member(), text)));
        for (int depth = 1; !level.isEmpty(); depth++) {
            if (depth > limits.depth()) {
                throw new Refused("its chain is longer than " + limits.depth(), false);
            }
            for (int left = level.size(); left > 0; left--) {
                Name name = level.poll();
                if (ask.name() != null && name.equals(new Name(ask.member(), ask.name()))) {
                    throw new Refused("it would wait on itself, by way of " + name.text(), false);
                }
                Node node = named.get(name);
                if (node != null && seen.add(name)) {
                    level.addAll(node.open);
                }
            }
        }
    }

    /** A time that was asked for has come. */
    public List<Effect> wake(String id, double now) {
        List<Effect> effects = new ArrayList<>();
        Node node = jobs.get(id);
        if (node == null || node.ready) {
            return effects;
        }
        if (now >= node.ask.until()) {
            if (node.open.isEmpty()) {
                finish(
                        node,
                        Fate.EXPIRED,
                        node.held ? "it was held until its time was over" : "its time was over",
                        now,
                        effects);
            } else {
                Name missing = node.open.iterator().next();
                if (node.ask.onFailure() == OnFailure.RUN) {
                    clear(node);
                    ready(node, effects);
                } else {
                    finish(node, fate(node.ask), why(missing, "did not end in time"), now, effects);
                }
            }
        } else {
            look(node, now, effects);
        }
        return effects;
    }

    /** A job that was released has ended. */
    public List<Effect> ended(String id, End end, double now) {
        List<Effect> effects = new ArrayList<>();
        Node node = jobs.get(id);
        if (node != null && node.ready) {
            forget(node);
            if (node.name != null && end != End.REFUSED) {
                spread(node.name, end == End.SUCCEEDED, "failed", now, effects);
            }
        }
        return effects;
    }

    /** A job of that name has ended at another dispatcher. */
    public List<Effect> told(Name name, boolean succeeded, double now) {
        List<Effect> effects = new ArrayList<>();
        if (!named.containsKey(name)) {
            spread(name, succeeded, "failed elsewhere", now, effects);
        }
        return effects;
    }

    /** Its client, or an operator, calls it off; false effects where it is not here or was released. */
    public List<Effect> cancel(String id, double now) {
        List<Effect> effects = new ArrayList<>();
        Node node = jobs.get(id);
        if (node != null && !node.ready) {
            finish(node, Fate.CANCELLED, "it was cancelled", now, effects);
        }
        return effects;
    }

    /** An operator keeps a job back, or lets it go on; true if it waits here. */
    public boolean hold(String id, boolean held, double now, List<Effect> effects) {
        Node node = jobs.get(id);
        if (node == null || node.ready) {
            return false;
        }
        node.held = held;
        look(node, now, effects);
        return true;
    }

    /** What a job still waits on. */
    public List<String> waitsOn(String id) {
        Node node = jobs.get(id);
        return node == null ? List.of() : node.open.stream().map(Name::text).toList();
    }

    /** The names that a member's jobs here wait on and that have no job here: peers are asked for them. */
    public List<Name> elsewhere() {
        return followers.keySet().stream()
                .filter(name -> !named.containsKey(name))
                .toList();
    }

    public int size() {
        return jobs.size();
    }

    private void look(Node node, double now, List<Effect> effects) {
        if (node.open.isEmpty() && !node.held && !node.ready && now >= node.ask.notBefore()) {
            ready(node, effects);
        }
    }

    private static void ready(Node node, List<Effect> effects) {
        node.ready = true;
        effects.add(new Ready(node.ask.id()));
    }

    private static Fate fate(Ask ask) {
        return ask.onFailure() == OnFailure.SKIP ? Fate.SKIPPED : Fate.FAILED;
    }

    private static String why(Name name, String what) {
        return name.text() + " " + what;
    }

    private void clear(Node node) {
        for (Name name : node.open) {
            Set<Node> all = followers.get(name);
            all.remove(node);
            if (all.isEmpty()) {
                followers.remove(name);
            }
        }
        node.open.clear();
    }

    private void forget(Node node) {
        clear(node);
        jobs.remove(node.ask.id());
        if (node.name != null) {
            named.remove(node.name);
        }
        String member = node.ask.member();
        bytes -= node.ask.bytes();
        sizes.get(member)[0] -= node.ask.bytes();
        if (--counts.get(member)[0] == 0) {
            counts.remove(member);
            sizes.remove(member);
        }
    }

    /**
     * Ends a job that never ran, and what follows from that. A skipped one counts as succeeded for others.
     */
    private void finish(Node first, Fate fate, String cause, double now, List<Effect> effects) {
        Deque<Node> work = new ArrayDeque<>();
        Deque<Done> fates = new ArrayDeque<>();
        work.add(first);
        fates.add(new Done(first.ask.id(), fate, cause));
        run(work, fates, now, effects);
    }

    private void spread(Name name, boolean succeeded, String what, double now, List<Effect> effects) {
        Deque<Node> work = new ArrayDeque<>();
        Deque<Done> fates = new ArrayDeque<>();
        end(name, succeeded, what, now, work, fates, effects);
        run(work, fates, now, effects);
    }

    /** Danger: a chain of thousands ends here in one call; by recursion it would end the thread's stack. */
    private void run(Deque<Node> work, Deque<Done> fates, double now, List<Effect> effects) {
        while (!work.isEmpty()) {
            Node node = work.poll();
            Done done = fates.poll();
            if (jobs.get(node.ask.id()) != node) {
                continue;
            }
            forget(node);
            effects.add(done);
            if (node.name != null) {
                boolean passes = done.fate() == Fate.SKIPPED;
                String what = switch (done.fate()) {
                    case CANCELLED -> "was cancelled";
                    case EXPIRED -> "was not run in time";
                    default -> "failed, since " + done.cause();
                };
                end(node.name, passes, what, now, work, fates, effects);
            }
        }
    }

    private void end(
            Name name,
            boolean succeeded,
            String what,
            double now,
            Deque<Node> work,
            Deque<Done> fates,
            List<Effect> effects) {
        LinkedHashMap<String, Boolean> kept = ends(name.member());
        kept.remove(name.text());
        kept.put(name.text(), succeeded);
        if (kept.size() > limits.endsOfMember()) {
            kept.remove(kept.keySet().iterator().next());
        }
        Set<Node> waiting = followers.remove(name);
        if (waiting == null) {
            return;
        }
        for (Node node : waiting) {
            node.open.remove(name);
            if (succeeded || node.ask.onFailure() == OnFailure.RUN) {
                look(node, now, effects);
            } else {
                work.add(node);
                fates.add(new Done(node.ask.id(), fate(node.ask), shorter(why(name, what))));
            }
        }
    }

    /** Through a long chain each cause would hold all before it. */
    private static String shorter(String cause) {
        int first = cause.indexOf(SINCE);
        int last = cause.lastIndexOf(SINCE);
        if (first == last) {
            return cause;
        }
        String root = cause.substring(last + SINCE.length());
        return cause.substring(0, first) + SINCE + (root.startsWith(AT_ROOT) ? "" : AT_ROOT) + root;
    }

    private LinkedHashMap<String, Boolean> ends(String member) {
        return ends.computeIfAbsent(member, m -> new LinkedHashMap<>());
    }
}
