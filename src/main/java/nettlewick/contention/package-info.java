/**
 * Detects tenants whose load persistently harms other tenants, and decides how such a tenant is migrated to dedicated
 * endpoints and back.
 *
 * <p>{@link nettlewick.contention.UsageCounters} counts requests and attempts on one dispatcher, {@link
 * nettlewick.contention.UsageReporter} turns the counts into reports to the holder of a tenant's lease, and {@link
 * nettlewick.contention.ContentionEvidence} evaluates the reports of all dispatchers on the holder. {@link
 * nettlewick.contention.PoolMigration} and {@link nettlewick.contention.PoolReservation} decide the steps of a
 * migration and select its endpoints.
 *
 * <p>The package depends on the records of {@code core} and {@code decision} and on the hash function of {@code lease}.
 * No class performs I/O or reads a clock. Only {@code UsageCounters} is thread-safe; all other classes with state are
 * confined to one thread.
 */
package nettlewick.contention;
