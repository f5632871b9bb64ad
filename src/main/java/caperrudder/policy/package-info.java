/**
 * The policy: every decision of a gateway, behind {@code caperrudder.api}.
 *
 * <p>{@link caperrudder.policy.TrafficPolicy} receives an event and hands it to the concern that owns the state it is
 * about: load balancing, scheduling, quotas, gossip or retries, each in a package below. Sockets, files, threads and
 * clocks are unknown here; time comes with the events, and all that is drawn comes from the seed. One instance serves one
 * gateway and is called from one thread.
 */
package caperrudder.policy;
