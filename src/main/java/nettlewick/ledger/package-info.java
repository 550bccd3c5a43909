/**
 * The billing ledger: an entry for each request that got its final answer, durable through crashes.
 *
 * <p>TestEntries go to a spool (append-only files, forced to disk) before they reach the store (SQLite); recovery joins the
 * two after a crash. Statements, closes, corrections, exports, archives and reconciliation between dispatchers work on
 * the store. Depends on {@code core} (as a recorder of usage), {@code log}, {@code settings} and {@code sqlite}. Off
 * unless the settings have a block {@code ledger}; it then runs threads of its own, and the core's thread only hands
 * entries over.
 */
package nettlewick.ledger;
