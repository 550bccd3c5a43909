/**
 * What a process has to know about its own state and about the other processes of its dispatcher: serving, draining,
 * hot restart, disabled endpoints. Depends on {@code format} alone. Each type says which threads may use it.
 */
package nettlewick.net.lifecycle;
