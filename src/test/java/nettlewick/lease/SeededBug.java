package nettlewick.lease;

/** Deliberate faults that the search must find. */
enum SeededBug {
    NONE,
    LEASE_TOO_LONG,
    VOTER_WITHOUT_RECORDS_VOTES,
    FENCES_NOT_CHECKED,
    GRANTS_IGNORED,
    PROMISE_OMITS_STATE,
    VOTER_LISTS_DIFFER,
    OLD_VERSION_STORED,
    VOTE_COUNTED_TWICE
}
