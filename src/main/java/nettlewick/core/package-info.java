/**
 * Connects requests, attempts and their outcomes to the decision module, whatever protocol they came by.
 *
 * <p>{@link nettlewick.core.RequestCoordinator} is the entry point. Frontends submit a
 * {@link nettlewick.core.Request}, the {@link nettlewick.core.Transport} carries out what was decided, and optional
 * parts attach as {@link nettlewick.core.RequestListener} or {@link nettlewick.core.UsageRecorder}. The package
 * depends on {@code nettlewick.decision} and {@code nettlewick.log} alone and does no input or output of its own.
 *
 * <p><b>Threads.</b> One thread, the core thread, runs {@link nettlewick.core.RequestCoordinator#run} and owns the
 * decision module and all state of this package. Other threads reach it through one queue, by the public methods of
 * the coordinator, which return at once. {@code CoreLoop} asserts this ownership. Exceptions are named where they
 * stand: {@link nettlewick.core.Metrics} and {@link nettlewick.core.Clock} serve any thread.
 *
 * <p><b>Time.</b> Times and durations are milliseconds, absolute times since the Unix epoch on the
 * {@link nettlewick.core.Clock}. The decision module counts in nanoseconds; {@code ModuleTime} converts.
 */
package nettlewick.core;
