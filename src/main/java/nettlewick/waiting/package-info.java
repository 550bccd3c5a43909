/**
 * Requests that wait for other requests or for a moment. Paused work: it has tests but is not wired in; no other
 * package uses it.
 *
 * <p>The plan (graph, calendar, limits) and the gate (order, pace, bound) are pure; the store keeps accepted requests,
 * releases and ends in SQLite. Depends on {@code decision} and {@code sqlite}.
 */
package nettlewick.waiting;
