/**
 * The operators' HTTP interface: readiness, metrics, draining, and disabling of endpoints.
 *
 * <p>{@link nettlewick.admin.AdminFrontend} serves it on an event loop of its own and calls
 * {@link nettlewick.admin.Operations}, which the server implements. The package depends on {@code nettlewick.core} for
 * the metrics alone and holds no state of the dispatcher.
 */
package nettlewick.admin;
