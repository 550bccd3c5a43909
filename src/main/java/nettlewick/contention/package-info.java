/**
 * Finds tenants whose load persistently harms other tenants, and decides how such a tenant is migrated to dedicated
 * endpoints and back.
 *
 * <p>{@link nettlewick.contention.UsageCounters} counts what one dispatcher sees, {@link
 * nettlewick.contention.UsageReporter} turns the counts into reports to the holder of a tenant's lease, and {@link
 * nettlewick.contention.ContentionEvidence} judges the reports of all dispatchers there. {@link
 * nettlewick.contention.PoolMigration} and {@link nettlewick.contention.PoolReservation} decide the steps of a
 * migration and its endpoints.
 *
 * <p>Depends on the records of {@code core} and {@code decision} and on the hash of {@code lease}. No class does I/O or
 * reads a clock. Only {@code UsageCounters} may be called from any thread; all others are confined to one.
 */
package nettlewick.contention;
