/**
 * Customer quotas at one gateway: token buckets, demand shares, the limit on concurrent requests, the meter's figures,
 * and the admission decision that is based on them.
 *
 * <p>Pages: DESIGN-caperrudder ("Customer parts, ours"; "Trouble" on silent peers and a silent meter),
 * WIRE-caperrudder (plans and their limits). Amounts are in units of a quota, times in milliseconds of the policy's
 * clock, and rates in units per second.
 *
 * <p>May depend on {@code caperrudder.api} alone. Package {@code caperrudder.policy.gossip} implements the interfaces
 * of this package: it determines which gateway owns a quota, and exchanges messages with other gateways. Nothing here
 * reads a clock or a socket; methods are passed the current time in milliseconds.
 *
 * <p>Not thread-safe. All objects of a gateway are used by its event loop only.
 */
package caperrudder.policy.quota;
