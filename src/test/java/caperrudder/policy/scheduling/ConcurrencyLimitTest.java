package caperrudder.policy.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The adaptation of the limit per host, and a gateway's number of slots. */
class ConcurrencyLimitTest {
    private static final double INTERVAL_MS = 250;
    private static final double OBJECTIVE_MS = 1000;

    private final ConcurrencyLimit limit = new ConcurrencyLimit(0, 1, List.of());

    private void respond(int count, double latencyMs, double baseMs) {
        for (int i = 0; i < count; i++) {
            limit.recordResponse(latencyMs, baseMs, OBJECTIVE_MS);
        }
    }

    @Test
    void singleGatewayHasAllSlotsOfTheHosts() {
        assertEquals(18, limit.slots(3));
        assertEquals(6, limit.slots(0), "slots of one host are the minimum");
    }

    @Test
    void oneOfSeveralGatewaysHasItsEvenShareAndBurstSlots() {
        ConcurrencyLimit shared = new ConcurrencyLimit(0, 4, List.of());
        assertEquals(18 / 4.0 + 0.7 * Math.sqrt(18 / 4.0) * 0.75, shared.slots(3), 1e-9);
    }

    @Test
    void limitGrowsIfSaturatedAndLatencyIsLow() {
        respond(8, 30, 30);
        limit.recordSaturation();
        limit.adapt(INTERVAL_MS);
        assertEquals(6 * 1.15, limit.limitPerHost(), 1e-9);
    }

    @Test
    void limitStaysIfNotSaturated() {
        respond(8, 30, 30);
        limit.adapt(INTERVAL_MS);
        assertEquals(6, limit.limitPerHost());
    }

    @Test
    void limitShrinksToItsMinimumWhileLatencyIsInflated() {
        for (int interval = 1; interval <= 20; interval++) {
            respond(8, 200, 100);
            limit.recordSaturation();
            limit.adapt(interval * INTERVAL_MS);
        }
        assertEquals(3, limit.limitPerHost());
    }

    @Test
    void limitShrinksIfMostAttemptsTimeOut() {
        respond(3, 30, 30);
        for (int i = 0; i < 5; i++) {
            limit.recordTimeout();
        }
        limit.adapt(INTERVAL_MS);
        assertEquals(6 * 0.85, limit.limitPerHost(), 1e-9);
    }

    @Test
    void adaptationIsPostponedUpToEightIntervalsWithFewResponses() {
        respond(2, 200, 100);
        limit.adapt(INTERVAL_MS);
        assertEquals(6, limit.limitPerHost());
        limit.adapt(8 * INTERVAL_MS);
        assertEquals(6 * 0.85, limit.limitPerHost(), 1e-9);
    }

    @Test
    void saturatedFlagIsResetWhenRead() {
        limit.recordSaturation();
        assertTrue(limit.getAndClearSaturated());
        assertFalse(limit.getAndClearSaturated());
    }

    @Test
    void restoredLimitIsClampedToItsBounds() {
        limit.restore(1000);
        assertEquals(128, limit.limitPerHost());
        limit.restore(0);
        assertEquals(3, limit.limitPerHost());
    }
}
