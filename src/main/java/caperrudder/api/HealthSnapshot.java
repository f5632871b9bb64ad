package caperrudder.api;

/** The health of a host, for one class or, where its name is empty, for all. */
public record HealthSnapshot(
        String host, String requestClass, double latencyPenalty, double updatedAtMs, int failuresSinceSuccess) {}
