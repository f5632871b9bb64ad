package caperrudder.policy;

import caperrudder.api.Limits;

/** The time after which a rejected client is asked to come back (Retry-After). */
final class RetryAfter {
    private static final double MIN_MS = TrafficPolicy.TICK_MS; // nothing changes sooner
    static final double NONE = 0; // as the interface says that no time is given

    private final Limits limits;

    RetryAfter(Limits limits) {
        this.limits = limits;
    }

    /** The estimate in milliseconds, within the bounds of the settings; 0 where clients are given no time. */
    double of(double estimateMs) {
        return limits.retryAfter() ? Math.min(limits.maxRetryAfterMs(), Math.max(MIN_MS, estimateMs)) : NONE;
    }
}
