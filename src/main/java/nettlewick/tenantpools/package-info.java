/**
 * Moves tenants to dedicated endpoints. The holder of a tenant's lease evaluates contention, decides the steps of the
 * migration and requests additional endpoints from a provider within a monthly spending cap. Every other dispatcher
 * applies the replicated state and reports usage.
 *
 * <p>{@link nettlewick.tenantpools.TenantPoolsService} is the entry point and connects the package to {@code core} and
 * {@code lease}; decisions on contention are made in {@code contention}. Tasks run on the lease thread and never block;
 * requests to the provider are asynchronous.
 */
package nettlewick.tenantpools;
