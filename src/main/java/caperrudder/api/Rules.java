package caperrudder.api;

/**
 * Times and multiples that hosts and clients are judged by (WIRE, {@code rules}).
 *
 * @param responseSlackMs how long after a client's deadline a final answer still counts
 * @param drainGraceMs how long a draining host may still be sent requests
 * @param overloadMultiple a host sent over this many times its present capacity
 * @param overloadWindowMs for this long fails while it warms up
 * @param coldStartCapacity the part of its capacity, from 0 to 1, that a host starts with at least
 * @param slowStartMs how long warming up takes at most
 * @param pollWithinMs without a subscription: how often the list of hosts is to be asked for; 0 where it comes unasked
 */
public record Rules(
        double responseSlackMs,
        double drainGraceMs,
        double overloadMultiple,
        double overloadWindowMs,
        double coldStartCapacity,
        double slowStartMs,
        double pollWithinMs) {}
