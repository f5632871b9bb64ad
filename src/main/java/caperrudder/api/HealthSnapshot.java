package caperrudder.api;

/**
 * The health of a host as observed by a gateway, for one class of requests or for all.
 *
 * @param hostId id of the host
 * @param requestClass name of the class; empty for all classes
 * @param latencyPenalty the host's latency as a multiple of the usual one: 1 is as usual, more is slower
 * @param updatedAtMs time of the last update of the penalty, in milliseconds since 1970
 * @param consecutiveFailures number of consecutive failures
 */
public record HealthSnapshot(
        String hostId, String requestClass, double latencyPenalty, double updatedAtMs, int consecutiveFailures) {}
