/**
 * What gateways inform each other of customers' quotas: typed messages and their codec, who owns a quota, what is
 * known of each peer, requests held for an owner's reply, and the outbox.
 *
 * <p>Pages: DESIGN-caperrudder ("Customer parts, ours"), WIRE-caperrudder (NOTIFY). What is sent
 * may be lost, repeated or overtaken on the way: running totals and serials make each message harmless to repeat.
 *
 * <p>May depend on {@code caperrudder.policy.quota} and what lies below it. Messages leave through
 * {@code PolicyActions}; nothing here reads a clock or a socket: each method is passed the present time in
 * milliseconds.
 *
 * <p>Not thread-safe: all objects of one gateway are used by its event loop alone.
 */
package caperrudder.policy.gossip;
