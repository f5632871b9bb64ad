package caperrudder.policy.retry;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.RequestClass;

/**
 * Decides whether a request can safely be sent again after an attempt of it may have run (rule 2). Requests of an
 * idempotent class can always be sent again. A request with an idempotency key can be sent again if the new attempt
 * arrives within the hosts' deduplication window, at a host of the same deduplication scope.
 *
 * <p>Immutable.
 */
public final class RetrySafety {
    /** Usable share of the deduplication window; the rest allows for the transit time to the host. */
    private static final double USABLE_WINDOW_SHARE = 0.9;

    private final double connectTimeoutMs;

    /** @param connectTimeoutMs longest time that opening a connection can delay an attempt */
    public RetrySafety(double connectTimeoutMs) {
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /**
     * Returns whether a new attempt can safely be sent now, although an earlier one may have run at a host of the same
     * deduplication scope.
     *
     * @param firstSentAt time at which the first attempt that may have run was sent, on the same clock as {@code now}
     */
    public boolean isRepeatable(double now, RequestClass requestClass, double firstSentAt) {
        double arrivesBy = now + connectTimeoutMs;
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && arrivesBy < firstSentAt + USABLE_WINDOW_SHARE * requestClass.deduplicationWindowMs());
    }

    /**
     * Returns whether a client can safely repeat a request that may have run. Its retry can reach any host, so that an
     * idempotency key must be known to all of them.
     */
    public static boolean isRepeatableByClient(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    /**
     * Returns whether a second attempt may be sent while the first may still run. Only then can a slow attempt be
     * cancelled and replaced.
     */
    public static boolean mayRunTwice(RequestClass requestClass) {
        return requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
    }
}
