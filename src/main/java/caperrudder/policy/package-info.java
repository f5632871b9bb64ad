/**
 * The policy, which makes all decisions of a gateway behind the interfaces of {@code caperrudder.api}.
 *
 * <p>{@link caperrudder.policy.TrafficPolicy} receives each event and passes it to the component that owns the affected
 * state: load balancing, scheduling, quotas, gossip or retries, each in its own subpackage. The policy uses no sockets,
 * files, threads or clocks. Events carry the time, and random numbers are generated from the seed of the settings. One
 * instance serves one gateway and is called from one thread.
 */
package caperrudder.policy;
