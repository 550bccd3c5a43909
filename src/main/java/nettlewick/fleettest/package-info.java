/**
 * Tests of whole fleets: starts and ends real dispatcher processes on loopback, carries their traffic through relays
 * that delay, lose and cut it, runs a scenario of faults, checks invariants on every request, and writes figures and
 * charts.
 *
 * <p>Depends on {@code settings} and {@code stubs}; only the command line uses it. The steps of a scenario run on one
 * thread, relays and stubs on threads of their own.
 */
package nettlewick.fleettest;
