/**
 * Quotas of customers at one gateway: token buckets, demand shares, the limit on concurrent requests, what the meter
 * reports, and the admission decision that follows from them.
 *
 * <p>Pages: DESIGN-caperrudder ("Customer parts, ours"; "Trouble" on silent peers and a silent meter),
 * WIRE-caperrudder (plans and their limits). Units are those of requests, times milliseconds of the policy's
 * clock, rates units per second.
 *
 * <p>May depend on {@code caperrudder.api} alone. Which gateway owns a quota, and
 * how gateways inform each other, is known to {@code caperrudder.policy.gossip}, which implements the interfaces of
 * this package. Nothing here reads a clock or a socket: each method is passed the present time in milliseconds.
 *
 * <p>Not thread-safe: all objects of one gateway are used by its event loop alone.
 */
package caperrudder.policy.quota;
