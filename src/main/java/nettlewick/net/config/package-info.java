/**
 * The configuration of a dispatcher and what follows from it. Depends on {@code discovery}, since a configuration may
 * hold an endpoint list, on {@code format} and {@code decision}. Immutable, so safe for any thread.
 */
package nettlewick.net.config;
