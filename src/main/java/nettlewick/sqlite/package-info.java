/**
 * Access to SQLite files in WAL mode, with transactions that are durable when they return. Used by the packages that
 * store something; depends on no other package of the program. A database object belongs to one thread.
 */
package nettlewick.sqlite;
