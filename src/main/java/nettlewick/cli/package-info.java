/**
 * The command line of the jar: {@link nettlewick.cli.Main} picks the sub-command, each {@code *Command} class reads its
 * options and starts what the other packages provide.
 *
 * <p>Depends on all other packages; none depends on this one. Commands run on the main thread. Errors become one line
 * on standard error and an exit code, see {@link nettlewick.cli.CommandException}. What commands print, and their exit
 * codes, is read by scripts.
 */
package nettlewick.cli;
