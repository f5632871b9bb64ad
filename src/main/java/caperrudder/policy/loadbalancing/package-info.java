/**
 * Load balancing: chooses the endpoint for each attempt. The only entry point is
 * {@link caperrudder.policy.loadbalancing.LoadBalancer}, which takes
 * {@link caperrudder.policy.loadbalancing.PlacementRequest}s and returns
 * {@link caperrudder.policy.loadbalancing.Endpoint}s as handles.
 *
 * <p>The package contains the endpoint table, the subset of endpoints that this gateway uses, slow start, load reports,
 * outlier detection and the picker. It depends only on {@code caperrudder.api}: it has no access to queues or quotas,
 * opens no sockets and reads no clock. Times are in milliseconds of the clock of the policy's events.
 *
 * <p>No class in this package is thread-safe: all calls come from the thread that runs the policy.
 */
package caperrudder.policy.loadbalancing;
