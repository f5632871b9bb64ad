package caperrudder.policy;

import caperrudder.api.SiteLimits;

/** Computes the Retry-After delay of rejected requests. */
final class RetryAfter {
    /** The delay for which {@link caperrudder.api.PolicyActions#reject} sends no Retry-After. */
    static final double NONE = 0;

    private static final double MIN_MS = TrafficPolicy.TICK_MS; // capacity and quota may change with the next tick

    private final SiteLimits limits;

    RetryAfter(SiteLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns the estimate in milliseconds, clamped to between a tick and the maximum of the settings; {@link #NONE} if
     * the settings permit no Retry-After.
     */
    double fromEstimate(double estimateMs) {
        return limits.retryAfter() ? Math.min(limits.maxRetryAfterMs(), Math.max(MIN_MS, estimateMs)) : NONE;
    }
}
