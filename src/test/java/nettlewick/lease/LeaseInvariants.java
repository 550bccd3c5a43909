package nettlewick.lease;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Checks that a stored version never changes and that each later holder knows it. */
final class LeaseInvariants {
    private static final long NOT_HOLDING = -1;

    /** By candidate: its version at the last check. */
    private final long[] lastVersions;

    private final TreeMap<Long, String> storedStates = new TreeMap<>();
    private int holderCount;

    LeaseInvariants(int candidateCount) {
        lastVersions = new long[candidateCount];
    }

    /** Returns an independent copy, whose count of holders starts at 0. */
    LeaseInvariants copy() {
        LeaseInvariants copy = new LeaseInvariants(lastVersions.length);
        System.arraycopy(lastVersions, 0, copy.lastVersions, 0, lastVersions.length);
        copy.storedStates.putAll(storedStates);
        return copy;
    }

    void candidateRestarted(int candidate) {
        lastVersions[candidate] = 0;
    }

    /** The stored states by version. */
    Map<Long, String> storedStates() {
        return storedStates;
    }

    /** How often a candidate became the holder. */
    int holderCount() {
        return holderCount;
    }

    /** Returns a description of the invariant that this candidate violates, or null. */
    String check(int index, LeaseCandidate candidate, boolean mayAct) {
        if (candidate.lifecycleState() != LeaseCandidate.State.HOLDING) {
            lastVersions[index] = NOT_HOLDING;
            return null;
        }
        long version = candidate.version();
        if (lastVersions[index] < 0) {
            holderCount++;
            if (!storedStates.isEmpty() && mayAct && version < storedStates.lastKey()) {
                return "version " + storedStates.lastKey() + " is lost: a new holder has version " + version;
            }
        }
        if (lastVersions[index] != version && version > 0) {
            String state = Arrays.toString(candidate.state());
            String storedState = storedStates.putIfAbsent(version, state);
            if (storedState != null && !storedState.equals(state)) {
                return "version " + version + " is " + state + " and was " + storedState;
            }
        }
        lastVersions[index] = version;
        return null;
    }
}
