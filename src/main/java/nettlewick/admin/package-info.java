/**
 * The operators' HTTP interface: readiness, metrics, draining, and disabling of endpoints.
 *
 * <p>{@link nettlewick.admin.AdminFrontend} serves it on its own event loop and calls
 * {@link nettlewick.net.Operations}, which the server implements. The package depends on {@code nettlewick.net} for
 * that interface and on {@code nettlewick.core} for the metrics, and holds no state of the dispatcher.
 */
package nettlewick.admin;
