package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.api.SiteRules;
import org.junit.jupiter.api.Test;

class SlowStartTest {
    private static final double STARTED_AT_MS = 1000;
    private static final double SLOW_START_MS = 10_000;
    private final SlowStart slowStart = new SlowStart(new SiteRules(8, 500, 2, 1000, 0.2, SLOW_START_MS, 0));
    private final Endpoint endpoint = new Endpoint(new Host("h", "a", "std", 0, HostState.RUNNING, 1, STARTED_AT_MS));

    @Test
    void anEndpointWithoutAKnownStartHasFullCapacity() {
        assertEquals(1, slowStart.capacityShare(endpoint, 0));
        assertFalse(slowStart.isWarmingUp(endpoint, 0));
    }

    @Test
    void capacityShareRisesLinearlyFromThatAtTheStartToOne() {
        endpoint.recordRestart(STARTED_AT_MS, 0);
        assertEquals(0.2, slowStart.capacityShare(endpoint, STARTED_AT_MS), 1e-9);
        assertEquals(0.6, slowStart.capacityShare(endpoint, STARTED_AT_MS + SLOW_START_MS / 2), 1e-9);
        assertTrue(slowStart.isWarmingUp(endpoint, STARTED_AT_MS + SLOW_START_MS - 1));
        assertEquals(1, slowStart.capacityShare(endpoint, STARTED_AT_MS + SLOW_START_MS));
    }

    @Test
    void aStartInTheFutureGivesTheCapacityShareAtTheStart() {
        endpoint.recordRestart(STARTED_AT_MS, 0);
        assertEquals(0.2, slowStart.capacityShare(endpoint, STARTED_AT_MS - 500), 1e-9);
    }

    @Test
    void anEndpointEarnsItsAllowedShareOfTheRequests() {
        endpoint.recordRestart(STARTED_AT_MS, 0);
        int earned = 0;
        for (int i = 0; i < 1000; i++) if (slowStart.accrueCredit(endpoint, STARTED_AT_MS)) earned++;
        assertEquals(1000 * 0.7 * 2 * 0.2, earned, 1);
    }

    @Test
    void anUnearnedRequestReducesTheCreditDownToMinusOne() {
        endpoint.recordRestart(STARTED_AT_MS, 0.5);
        slowStart.deductCredit(endpoint);
        assertEquals(-0.5, endpoint.slowStartCredit(), 1e-9);
        slowStart.deductCredit(endpoint);
        slowStart.deductCredit(endpoint);
        assertEquals(-1, endpoint.slowStartCredit(), 1e-9);
    }
}
