/**
 * The adapter between the simulator's line-based JSON protocol and the decision module.
 *
 * <p>Each line of input is a batch of events for many instances of the module; each is answered by one line with the
 * actions that the instances decided on. The names of the protocol are mapped to those of {@code nettlewick.decision}
 * here and nowhere else. Depends on {@code nettlewick.decision} and on a streaming JSON parser; runs on the caller's
 * thread, without a clock.
 */
package nettlewick.simulator;
