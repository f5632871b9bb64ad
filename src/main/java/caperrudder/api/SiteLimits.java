package caperrudder.api;

/**
 * The actions that a site permits to its gateways, and their limits (WIRE, {@code limits}).
 *
 * @param maxAttempts maximum number of attempts of a request
 * @param hedging whether a request may have two attempts at the same time
 * @param cancellation whether attempts may be cancelled
 * @param healthChecks whether gateways may send health checks to hosts
 * @param peerMessages whether gateways may send messages to each other
 * @param retryAfter whether a rejection may carry a Retry-After
 * @param maxRetryAfterMs longest Retry-After that clients follow, in milliseconds
 * @param connectTimeoutMs timeout of connecting to a host, in milliseconds
 */
public record SiteLimits(
        int maxAttempts,
        boolean hedging,
        boolean cancellation,
        boolean healthChecks,
        boolean peerMessages,
        boolean retryAfter,
        double maxRetryAfterMs,
        double connectTimeoutMs) {}
