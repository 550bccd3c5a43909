/**
 * Leases, each of which at most one dispatcher holds at a time, granted by a majority of voters. Each lease has a fence
 * and a replicated state (see docs/duties.md).
 *
 * <p>{@link nettlewick.lease.LeaseService} owns the lease thread and connects the other classes, all of which are
 * confined to that thread: {@link nettlewick.lease.LeaseTransport} and {@link nettlewick.lease.MessageCodec} carry the
 * messages, {@link nettlewick.lease.PersistentVoter} votes, and one {@link nettlewick.lease.ManagedLease} per lease
 * competes for it, announces its state or follows its holder. {@link nettlewick.lease.LeaseCandidate},
 * {@link nettlewick.lease.LeaseVoter} and {@link nettlewick.lease.LeaseFollower} do no I/O: callers pass them the time
 * and send the messages that they return. Other packages implement {@link nettlewick.lease.LeaseTask} to do work under
 * a lease.
 *
 * <p>Uses {@code settings} for the block {@code duty}, {@code sqlite} for the voter's records and {@code log}. In
 * settings, log events and stored data, a lease is called a duty.
 */
package nettlewick.lease;
