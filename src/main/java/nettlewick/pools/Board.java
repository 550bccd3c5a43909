package nettlewick.pools;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import nettlewick.contention.Move.Step;
import nettlewick.contention.Reserve;
import nettlewick.core.Roster;
import nettlewick.core.Witness;
import nettlewick.decision.Dispatcher.Assignment;
import nettlewick.decision.Dispatcher.Life;

/**
 * What this dispatcher knows of all members' pools, and what that says to its module. Belongs to the duties'
 * thread, but for the list of runners, which the core's thread brings.
 */
final class Board implements Witness {
    private record Known(PoolState state, double at) {}

    private final double forget;
    private final Map<String, Roster.Entry> ready = new ConcurrentHashMap<>();
    private final Map<String, Known> pools = new LinkedHashMap<>();

    /** @param forget after so many milliseconds without a word, a pool keeps nobody else away */
    Board(double forget) {
        this.forget = forget;
    }

    @Override
    public void listed(Roster roster) {
        if (roster.whole()) {
            Set<String> named = new HashSet<>();
            roster.entries().forEach(e -> named.add(e.worker()));
            ready.keySet().retainAll(named);
        }
        for (Roster.Entry e : roster.entries()) {
            if (e.life() == Life.READY) {
                ready.put(e.worker(), e);
            } else {
                ready.remove(e.worker());
            }
        }
    }

    /** The newest state of a member's pool, heard of now. */
    void take(String member, PoolState state, double now) {
        pools.put(member, new Known(state, now));
    }

    /** The runners that are ready, as this list and the members' states tell. */
    Map<String, Reserve.Runner> ready() {
        Map<String, String> addedFor = new HashMap<>();
        pools.forEach((member, known) -> known.state().added().forEach(name -> addedFor.put(name, member)));
        Map<String, Reserve.Runner> runners = new HashMap<>();
        ready.forEach((name, e) -> runners.put(
                name,
                new Reserve.Runner(name, String.valueOf(e.zone()), String.valueOf(e.kind()), addedFor.get(name))));
        return runners;
    }

    /** What other members' pools hold. Danger: where two hold one, the first of them by name keeps it. */
    Set<String> taken(String member, List<String> own) {
        Set<String> taken = new HashSet<>();
        pools.forEach((other, known) -> {
            if (!other.equals(member) && known.state().move().step() != Step.NONE) {
                known.state().move().runners().stream()
                        .filter(r -> other.compareTo(member) < 0 || !own.contains(r))
                        .forEach(taken::add);
            }
        });
        return taken;
    }

    /** Other members whose work goes to pools of their own alone, with their runners. */
    Map<String, Set<String>> apart(String but) {
        Map<String, Set<String>> apart = new HashMap<>();
        pools.forEach((member, known) -> {
            if (known.state().move().step() == Step.OPEN && !member.equals(but)) {
                apart.put(member, Set.copyOf(known.state().move().runners()));
            }
        });
        return apart;
    }

    /** What the module has to go by now. */
    List<Assignment> assignments(double now) {
        List<Assignment> all = new ArrayList<>();
        pools.forEach((member, known) -> {
            Step step = known.state().move().step();
            if (step.shut()) {
                boolean heard = now - known.at() < forget;
                all.add(new Assignment(member, Set.copyOf(known.state().move().runners()), heard, step == Step.OPEN));
            }
        });
        return all;
    }
}
