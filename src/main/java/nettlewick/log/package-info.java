/**
 * Logging of the program's components to standard error.
 *
 * <p>Other packages log through {@link nettlewick.log.ComponentLogger}, which is thread-safe. Logback finds
 * {@link nettlewick.log.LogSetup} through its service file; that class installs the
 * {@link nettlewick.log.StderrAppender} and applies the settings block {@code log}. Depends on SLF4J, Logback, Gson and
 * {@code nettlewick.settings}.
 */
package nettlewick.log;
