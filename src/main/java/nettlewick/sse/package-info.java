/**
 * A frontend that streams a request's progress and result to its client as server-sent events.
 *
 * <p>{@link nettlewick.sse.EventStreamFrontend} is the HTTP side; a client that lost its connection attaches to its
 * request's stream again. The package builds on {@code nettlewick.net} for HTTP and on {@code nettlewick.core} for
 * requests. All of it runs on the frontend's event loop; calls from the core thread are moved there.
 */
package nettlewick.sse;
