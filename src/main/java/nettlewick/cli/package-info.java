/**
 * The command line of the jar: {@link nettlewick.cli.Main} selects the sub-command, and each {@code *Command} class
 * parses its options and runs the services of the other packages.
 *
 * <p>Depends on all other packages; none depends on this one. Commands run on the main thread. Errors are reported as
 * one line on standard error and an exit code, see {@link nettlewick.cli.CommandException}. Scripts parse the output of
 * the commands and rely on their exit codes.
 */
package nettlewick.cli;
