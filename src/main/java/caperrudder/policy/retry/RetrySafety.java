package caperrudder.policy.retry;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.RequestClass;

/**
 * Whether sending a request again does harm once an attempt of it may have run (rule 2). It never does where the class
 * is idempotent. With an idempotency key it does none where the repeat arrives within the hosts' deduplication window,
 * at a host of the same deduplication scope. Stateless but for the connect timeout.
 */
public final class RetrySafety {
    private static final double WINDOW_SHARE = 0.9; // of a key's window: the rest covers the way to the host

    private final double connectTimeoutMs;

    /** {@code connectTimeoutMs}: how much later, on a new connection, an attempt arrives at its host at most. */
    public RetrySafety(double connectTimeoutMs) {
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /**
     * Whether an attempt sent now does no harm beside one that may have run, at some host of its deduplication scope.
     *
     * @param firstSentAt when the first attempt that may have run was sent, on the same clock as {@code now}
     */
    public boolean isRepeatable(double now, RequestClass spec, double firstSentAt) {
        double arrivesBy = now + connectTimeoutMs;
        return spec.idempotency() == Idempotency.IDEMPOTENT
                || (spec.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && arrivesBy < firstSentAt + WINDOW_SHARE * spec.deduplicationWindowMs());
    }

    /** Whether a client may repeat a request that may have run: its retry can reach any host. */
    public static boolean isRepeatableByClient(RequestClass spec) {
        return spec.idempotency() == Idempotency.IDEMPOTENT
                || (spec.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && spec.deduplicationScope() == DeduplicationScope.ALL);
    }

    /** Whether hosts may see a second copy of a request while the first is out, so that one may be given up. */
    public static boolean mayRunTwice(RequestClass spec) {
        return spec.idempotency() != Idempotency.NOT_IDEMPOTENT;
    }
}
