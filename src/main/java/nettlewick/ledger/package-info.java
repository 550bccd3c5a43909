/**
 * The billing ledger: one entry for each request that received its final answer, durable across crashes.
 *
 * <p>Entries are written to a spool (append-only files that are synced to disk) before they reach the store (SQLite);
 * after a crash, recovery enters what the spool holds and the store does not. Each process run of a dispatcher is an
 * incarnation and writes a hash chain of entries of its own. Statements, period closes, corrections, exports, archives
 * and reconciliation between dispatchers work on the store. Depends on {@code core} (as its usage recorder), {@code
 * log}, {@code settings} and {@code sqlite}. Enabled by the settings block {@code ledger}; it then runs its own
 * threads, and the core thread only hands entries over.
 */
package nettlewick.ledger;
