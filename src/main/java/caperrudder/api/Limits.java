package caperrudder.api;

public record Limits(
        int maxAttempts,
        boolean hedging,
        boolean cancellation,
        boolean healthChecks,
        boolean peerMessages,
        boolean retryAfter,
        double maxRetryAfterMs,
        double connectTimeoutMs) {}
