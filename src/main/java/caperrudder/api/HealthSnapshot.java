package caperrudder.api;

/**
 * The health of a host, for one class or, where the class is empty, for all.
 *
 * @param host the host's id
 * @param requestClass the name of the class, or empty
 * @param latencyPenalty how much slower than others the host has been
 * @param updatedAtMs when the penalty was last updated
 * @param failuresSinceSuccess failures in a row
 */
public record HealthSnapshot(
        String host, String requestClass, double latencyPenalty, double updatedAtMs, int failuresSinceSuccess) {}
