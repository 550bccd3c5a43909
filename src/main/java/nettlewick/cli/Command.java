package nettlewick.cli;

/** A sub-command; the annotated fields of its implementation are its options. */
interface Command {
    /**
     * Executes the command.
     *
     * @return the exit code
     * @throws CommandException if the command fails: one line on standard error and an exit code other than 0
     */
    int run();
}
