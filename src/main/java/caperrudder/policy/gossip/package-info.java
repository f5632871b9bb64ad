/**
 * Exchange of quota state between gateways: the messages and their codec, the ownership of quotas, the state of each
 * peer, decisions pending at an owner, and the outbox.
 *
 * <p>Pages: DESIGN-caperrudder ("Customer parts, ours"), WIRE-caperrudder (NOTIFY). Messages may be lost, duplicated or
 * reordered. They carry serials and running totals, so that a repeated message has no effect and a later message makes
 * up for a lost one.
 *
 * <p>May depend on {@code caperrudder.policy.quota} and the packages that it depends on. Messages are sent through
 * {@code PolicyActions}. Nothing here reads a clock or a socket: the parameter {@code now} is the current time in
 * milliseconds.
 *
 * <p>Not thread-safe: all objects of a gateway are confined to its event loop.
 */
package caperrudder.policy.gossip;
