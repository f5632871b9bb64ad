package caperrudder.policy.loadbalancing;

import caperrudder.api.Host;
import caperrudder.api.Idempotency;
import caperrudder.api.RequestClass;
import java.util.List;

/**
 * A request that needs an endpoint for its next attempt.
 *
 * @param requestClass the request's class
 * @param expectedWorkMs the expected time of an attempt, in ms
 * @param repeatable whether another attempt is harmless now (WIRE, rule 2); true if no attempt may have run yet
 * @param mayHaveRunOnHost the host of the first attempt that may have run, or null if there was none
 * @param attemptedEndpoints the endpoint of each attempt so far, in order; may contain the same endpoint several times
 */
public record PlacementRequest(
        RequestClass requestClass,
        double expectedWorkMs,
        boolean repeatable,
        Host mayHaveRunOnHost,
        List<Endpoint> attemptedEndpoints) {

    String className() {
        return requestClass.name();
    }

    /**
     * Returns whether the next attempt may use this endpoint. Once an attempt may have run, a request with an
     * idempotency key may use only the endpoints that drop a repeat of that attempt.
     */
    boolean allows(Endpoint endpoint) {
        return repeatable
                && (mayHaveRunOnHost == null
                        || requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY
                        || requestClass.deduplicationScope().isSharedBy(endpoint.host(), mayHaveRunOnHost));
    }
}
