/**
 * Quotas of customers at one gateway: token buckets, demand shares, the limit on concurrent requests, what the meter
 * reports, and the admission decision that follows from them.
 *
 * <p>May depend on {@code caperrudder.api} alone. Which gateway owns a quota, and
 * how gateways inform each other, is known to {@code caperrudder.policy.gossip}, which implements the interfaces of
 * this package. Nothing here reads a clock or a socket: each method is passed the present time in milliseconds.
 *
 * <p>Not thread-safe: all objects of one gateway are used by its event loop alone.
 */
package caperrudder.policy.quota;
