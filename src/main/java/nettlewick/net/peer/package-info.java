/** Exchanges datagrams with the other dispatchers. Depends on {@code config}. Lives on the event loop. */
package nettlewick.net.peer;
