/**
 * Connects requests, attempts and their outcomes to the decision module, independently of the client protocol.
 *
 * <p>{@link nettlewick.core.RequestCoordinator} is the entry point. Frontends submit a
 * {@link nettlewick.core.Request}, the {@link nettlewick.core.Transport} sends attempts and probes, and optional
 * components attach as {@link nettlewick.core.RequestListener} or {@link nettlewick.core.UsageRecorder}. The package
 * depends only on {@code nettlewick.decision} and {@code nettlewick.log} and performs no I/O.
 *
 * <p><b>Threads.</b> One thread, the core thread, runs {@link nettlewick.core.RequestCoordinator#run} and owns the
 * decision module and all state of this package. Other threads submit tasks to its queue through the public methods of
 * the coordinator, which return immediately. {@code CoreLoop} asserts this ownership. Exceptions are documented:
 * {@link nettlewick.core.Metrics} and {@link nettlewick.core.Clock} are thread-safe.
 *
 * <p><b>Time.</b> Times and durations are in milliseconds; times are since the Unix epoch on the
 * {@link nettlewick.core.Clock}. The decision module uses nanoseconds; {@code ModuleTime} converts.
 */
package nettlewick.core;
