/**
 * Sends attempts and load probes to endpoints and manages the connections to them. Depends on {@code config},
 * {@code discovery}, {@code peer} and {@code format}, and on {@code core}, whose transport it is. Runs on the event
 * loop.
 */
package nettlewick.net.endpoint;
