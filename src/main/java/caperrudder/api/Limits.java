package caperrudder.api;

/**
 * What the site permits (WIRE, {@code limits}).
 *
 * @param maxAttempts the most attempts of one request
 * @param hedging whether a request may have two attempts at once
 * @param cancellation whether attempts may be cancelled
 * @param healthChecks whether hosts may be asked for their health
 * @param peerMessages whether gateways may send each other messages
 * @param retryAfter whether a rejected client may get a Retry-After
 * @param maxRetryAfterMs the longest such wait that clients follow
 * @param connectTimeoutMs how long a connection may take
 */
public record Limits(
        int maxAttempts,
        boolean hedging,
        boolean cancellation,
        boolean healthChecks,
        boolean peerMessages,
        boolean retryAfter,
        double maxRetryAfterMs,
        double connectTimeoutMs) {}
