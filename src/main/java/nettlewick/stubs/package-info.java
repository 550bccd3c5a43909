/**
 * Stubs of the systems around a dispatcher: discovery, endpoints, a provider of endpoints and a receiver of exported
 * batches, on loopback.
 *
 * <p>Written from the published protocols, for the demonstration, the tests and {@code fleettest}. Models do no
 * I/O and take the time as an argument; servers run on Vert.x event loops.
 */
package nettlewick.stubs;
