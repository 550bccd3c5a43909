package nettlewick.lease;

/** Faults in the program that the search has to find. */
enum SeededBug {
    NONE,
    LEASE_TOO_LONG,
    FORGETFUL_VOTER_VOTES,
    FENCE_GATE_OPEN,
    GRANTS_IGNORED,
    PROMISE_OMITS_STATE,
    VOTER_LISTS_DIFFER,
    OLD_VERSION_STORED,
    VOTE_COUNTED_TWICE
}
