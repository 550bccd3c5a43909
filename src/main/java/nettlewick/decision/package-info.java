/**
 * The decision module: selects endpoints, rejects, retries and hedges requests, and shares capacity between
 * dispatchers. It depends on the JDK only, does no I/O, reads no clock and takes its only randomness from a seed.
 * Except for records and enums, its types are confined to the thread that calls
 * {@link nettlewick.decision.Dispatcher#handle}.
 */
package nettlewick.decision;
