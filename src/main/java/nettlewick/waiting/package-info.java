/**
 * Requests that wait for other requests or for a start time before they are forwarded; such a request is called a job.
 * Paused work: it has tests but is not wired in; no other package uses it.
 *
 * <p>The dependency tracker (graph, start times, limits) and the release queue (order, rate, longest wait) do no I/O;
 * the store keeps accepted, released and finished jobs in SQLite. Depends on {@code decision} and {@code sqlite}.
 */
package nettlewick.waiting;
