/**
 * Tests with whole fleets: starts and ends real dispatcher processes on loopback, carries what goes between them
 * through relays that delay, lose and cut, plays a scenario of faults, checks invariants on every request, and writes
 * figures and charts.
 *
 * <p>Depends on {@code settings} and {@code stubs}; nothing but the command line uses it. The scenario's steps run on
 * one thread, relays and stubs on threads of their own.
 */
package nettlewick.fleettest;
