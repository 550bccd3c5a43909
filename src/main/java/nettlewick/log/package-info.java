/**
 * Log lines of the program's components, on standard error.
 *
 * <p>{@link nettlewick.log.ComponentLogger} is what the other packages write to, from any thread. Logback finds
 * {@link nettlewick.log.LogSetup} through its service file; that class installs the
 * {@link nettlewick.log.StderrAppender} and applies the settings block {@code log}. Depends on SLF4J, Logback, Gson and
 * {@code settings}.
 */
package nettlewick.log;
