/**
 * Access to SQLite files in WAL mode, with transactions that are durable when they return. Depends on no other package
 * of this project. A database object belongs to one thread.
 */
package nettlewick.sqlite;
