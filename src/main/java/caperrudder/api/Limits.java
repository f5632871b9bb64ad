package caperrudder.api;

public record Limits(
        int maxAttempts,
        boolean duplicates,
        boolean cancel,
        boolean probes,
        boolean peers,
        boolean retryAfter,
        double maxRetryAfterMs,
        double connectTimeoutMs) {}
