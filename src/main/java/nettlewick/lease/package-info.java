/**
 * Leases that one dispatcher at a time holds through a majority of voters, each with a fence and a replicated state
 * (see docs/duties.md).
 *
 * <p>{@link nettlewick.lease.LeaseService} owns the lease thread and connects the parts, all of which belong to that
 * thread: {@link nettlewick.lease.LeaseTransport} and {@link nettlewick.lease.MessageCodec} carry the messages,
 * {@link nettlewick.lease.PersistentVoter} votes, and a {@link nettlewick.lease.ManagedLease} for each lease stands for
 * it, announces its state or follows its holder. {@link nettlewick.lease.LeaseCandidate},
 * {@link nettlewick.lease.LeaseVoter} and {@link nettlewick.lease.LeaseFollower} are pure: they are passed the time and
 * return the messages to send. What is done under a lease is a {@link nettlewick.lease.LeaseTask} of another package.
 *
 * <p>Uses {@code settings} for the block {@code duty}, {@code sqlite} for the voter's records and {@code log}. In
 * settings, log events and stored data a lease is still called a duty.
 */
package nettlewick.lease;
