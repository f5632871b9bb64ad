package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.api.Idempotency;
import caperrudder.api.RequestClass;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementRequestTest {
    private static Host host(String zone, int cell) {
        return new Host("h-" + zone + cell, zone, "std", cell, HostState.RUNNING, 1, 0);
    }

    /** The first attempt may have run on a host in zone a, cell 1. */
    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, CELL, true, b, 2, true",
        "IDEMPOTENT, CELL, false, a, 1, false",
        "IDEMPOTENCY_KEY, CELL, true, a, 1, true",
        "IDEMPOTENCY_KEY, CELL, true, a, 2, false",
        "IDEMPOTENCY_KEY, CELL, true, b, 1, false",
        "IDEMPOTENCY_KEY, ZONE, true, a, 2, true",
        "IDEMPOTENCY_KEY, ZONE, true, b, 1, false",
        "IDEMPOTENCY_KEY, ALL, true, b, 2, true",
        "IDEMPOTENCY_KEY, ALL, false, a, 1, false"
    })
    void aRetryIsAllowedOnlyOnHostsWhereARepeatIsHarmless(
            Idempotency idempotency,
            DeduplicationScope scope,
            boolean repeatable,
            String zone,
            int cell,
            boolean allowed) {
        RequestClass requestClass = new RequestClass("order", idempotency, scope, 1000, 1000, 3000, 1, 0, false);
        PlacementRequest request = new PlacementRequest(requestClass, 10, repeatable, host("a", 1), List.of());
        assertEquals(allowed, request.allows(new Endpoint(host(zone, cell))));
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT", "IDEMPOTENCY_KEY", "NOT_IDEMPOTENT"})
    void aFirstAttemptIsAllowedOnAnyEndpoint(Idempotency idempotency) {
        RequestClass requestClass =
                new RequestClass("pay", idempotency, DeduplicationScope.CELL, 0, 1000, 3000, 1, 0, false);
        PlacementRequest request = new PlacementRequest(requestClass, 10, true, null, List.of());
        assertEquals(true, request.allows(new Endpoint(host("b", 2))));
    }
}
