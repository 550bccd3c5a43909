package nettlewick.cli;

/** A sub-command; its fields are its options. */
interface Command {
    /** Does the work; the exit code comes back. */
    int run();
}
