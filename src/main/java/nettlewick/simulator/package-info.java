/**
 * The adapter between the simulator's line-based JSON protocol and the decision module.
 *
 * <p>Each line of input is a batch of events for many instances of the module and is answered by one line with the
 * actions of the instances. The protocol's names are mapped to those of {@code nettlewick.decision} in this package
 * only. Depends on {@code nettlewick.decision} and on a streaming JSON parser; runs on the caller's thread and reads no
 * clock.
 */
package nettlewick.simulator;
