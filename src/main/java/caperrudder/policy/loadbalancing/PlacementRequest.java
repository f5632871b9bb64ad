package caperrudder.policy.loadbalancing;

import caperrudder.api.Host;
import caperrudder.api.Idempotency;
import caperrudder.api.RequestClass;
import java.util.List;

/**
 * A request that needs an endpoint for its next attempt.
 *
 * @param requestClass the request's class
 * @param expectedWorkMs time that requests of this class and size have been taking, in ms
 * @param repeatable whether one more attempt is harmless by now (WIRE, rule 2); true where none may have run
 * @param mayHaveRunOn the host of the first attempt that may have run, or null where none may have run
 * @param attempted the endpoints of all attempts so far, in order; one that had several is listed as often
 */
public record PlacementRequest(
        RequestClass requestClass,
        double expectedWorkMs,
        boolean repeatable,
        Host mayHaveRunOn,
        List<Endpoint> attempted) {

    String className() {
        return requestClass.name();
    }

    /** Whether an attempt on this endpoint is harmless: once one may have run, only where a repeat is dropped. */
    boolean allows(Endpoint endpoint) {
        return repeatable
                && (mayHaveRunOn == null
                        || requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY
                        || requestClass.deduplicationScope().isSharedBy(endpoint.host(), mayHaveRunOn));
    }
}
