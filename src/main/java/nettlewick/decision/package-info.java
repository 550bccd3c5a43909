/**
 * The decision module: which endpoint each request goes to, which requests are rejected, when a request is
 * retried or hedged, and how dispatchers share capacity. It depends on the JDK alone, does no I/O, reads no clock
 * and draws random numbers from its seed alone. All types but the records and enums are confined to the one
 * thread that calls {@link nettlewick.decision.Dispatcher#handle}.
 */
package nettlewick.decision;
