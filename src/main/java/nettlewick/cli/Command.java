package nettlewick.cli;

/** A sub-command; the fields of its implementation are its options. */
interface Command {
    /**
     * Does the work.
     *
     * @return the exit code
     * @throws CommandException to end with one line on standard error and another exit code
     */
    int run();
}
