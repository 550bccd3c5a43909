/**
 * Serves clients: limits and checks their connections, parses their requests and writes the responses. Depends on
 * {@code config}, {@code lifecycle}, {@code format} and {@code endpoint} (for what is forwarded), and on {@code core}.
 * Runs on the event loop, except the accepting of connections, which has a thread of its own.
 */
package nettlewick.net.client;
