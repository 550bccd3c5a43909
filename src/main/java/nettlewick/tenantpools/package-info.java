/**
 * Moves tenants to dedicated endpoints. The holder of a tenant's lease judges contention, decides the steps of the
 * migration and has a provider add endpoints under a monthly spending cap; every other dispatcher follows the
 * replicated state and reports what it sees.
 *
 * <p>{@link nettlewick.tenantpools.TenantPoolsService} is the entry point and connects the package to {@code core} and
 * {@code lease}; decisions on contention come from {@code contention}. Tasks run on the lease thread and never block;
 * the provider is asked asynchronously.
 */
package nettlewick.tenantpools;
