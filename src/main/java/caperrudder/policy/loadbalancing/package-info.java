/**
 * Load balancing: which endpoint serves the next attempt. {@link caperrudder.policy.loadbalancing.LoadBalancer} is the
 * only way in; it hands out {@link caperrudder.policy.loadbalancing.Endpoint}s as handles and takes
 * {@link caperrudder.policy.loadbalancing.PlacementRequest}s.
 *
 * <p>The package holds the endpoint table, the subset of endpoints that this gateway uses, slow start, load reports,
 * outlier detection and the picker. It depends on {@code caperrudder.api} alone: it knows neither requests in queues
 * nor quotas, opens no socket and reads no clock. Times are milliseconds of the clock of the policy's events.
 *
 * <p>Nothing here is safe for use by several threads: all calls come from the thread that runs the policy.
 */
package caperrudder.policy.loadbalancing;
