package caperrudder.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.RequestClass;
import org.junit.jupiter.api.Test;

/** Checks rule 2: a request that must not run twice is never sent again after an attempt that may have run. */
class RetrySafetyTest {
    private static final double CONNECT_TIMEOUT_MS = 250;
    private static final double WINDOW_MS = 1000;
    private static final double SENT_AT = 5000;

    private final RetrySafety safety = new RetrySafety(CONNECT_TIMEOUT_MS);

    private static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass("class", idempotency, scope, WINDOW_MS, 1000, 3000, 1, 0, false);
    }

    private boolean isRepeatable(Idempotency idempotency, double afterMs) {
        return safety.isRepeatable(SENT_AT + afterMs, requestClass(idempotency, DeduplicationScope.ALL), SENT_AT);
    }

    @Test
    void idempotentRequestIsAlwaysRepeatable() {
        assertTrue(isRepeatable(Idempotency.IDEMPOTENT, 100_000));
    }

    @Test
    void nonIdempotentRequestIsNeverRepeatable() {
        assertFalse(isRepeatable(Idempotency.NOT_IDEMPOTENT, 0));
    }

    @Test
    void requestWithIdempotencyKeyIsRepeatableIfItArrivesWithinNineTenthsOfTheWindow() {
        assertTrue(isRepeatable(Idempotency.IDEMPOTENCY_KEY, 649));
        assertFalse(isRepeatable(Idempotency.IDEMPOTENCY_KEY, 650));
    }

    @Test
    void clientMayRepeatIfAllHostsDropDuplicates() {
        for (DeduplicationScope scope : DeduplicationScope.values()) {
            assertTrue(RetrySafety.isRepeatableByClient(requestClass(Idempotency.IDEMPOTENT, scope)));
            assertFalse(RetrySafety.isRepeatableByClient(requestClass(Idempotency.NOT_IDEMPOTENT, scope)));
            assertEquals(
                    scope == DeduplicationScope.ALL,
                    RetrySafety.isRepeatableByClient(requestClass(Idempotency.IDEMPOTENCY_KEY, scope)));
        }
    }
}
