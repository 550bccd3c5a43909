/**
 * A frontend that streams the progress and the result of a request to its client as server-sent events.
 *
 * <p>{@link nettlewick.sse.EventStreamFrontend} handles HTTP; a client that lost its connection can attach to its
 * request's stream again. The package uses {@code nettlewick.net} for HTTP and {@code nettlewick.core} for requests.
 * All of it runs on the frontend's event loop, to which calls from the core thread are dispatched.
 */
package nettlewick.sse;
