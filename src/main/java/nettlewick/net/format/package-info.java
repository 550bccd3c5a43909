/**
 * Reads the text formats of the platform: JSON objects, socket addresses, lists of named numbers. Depends on no other
 * package of the project. Free of state, so safe for any thread.
 */
package nettlewick.net.format;
