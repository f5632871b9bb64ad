package caperrudder.api;

/**
 * Rules of the site about hosts, clients and discovery (WIRE, {@code rules}). Times are in milliseconds.
 *
 * @param lateResponseGraceMs how long after a client's deadline a response still counts
 * @param drainGraceMs how long a draining host still accepts requests
 * @param overloadMultiple load, as a multiple of its current capacity, above which a host in slow start fails
 * @param overloadWindowMs how long that load must last before the host fails
 * @param slowStartInitialCapacityShare lower bound of the share of its capacity, from 0 to 1, that a host has right
 *     after its start
 * @param slowStartMs maximum duration of slow start
 * @param maxPollIntervalMs maximum interval between requests for the list of hosts if the gateway polls discovery; 0 if
 *     discovery sends the list unasked
 */
public record SiteRules(
        double lateResponseGraceMs,
        double drainGraceMs,
        double overloadMultiple,
        double overloadWindowMs,
        double slowStartInitialCapacityShare,
        double slowStartMs,
        double maxPollIntervalMs) {}
