/** Exchanges datagrams with the other dispatchers. Depends on {@code config}. Runs on the event loop. */
package nettlewick.net.peer;
