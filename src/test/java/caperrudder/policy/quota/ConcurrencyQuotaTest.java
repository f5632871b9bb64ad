package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import org.junit.jupiter.api.Test;

/** Checks a limit of two concurrent requests over a replica set of twenty gateways. */
class ConcurrencyQuotaTest {
    private static final Plan TWO_OPEN = new Plan("open", 0, 0, 2, 1, 0, 1, 0, 0, 0);
    private static final int REPLICAS = 20;
    private static final double EXPECTED_MS = 50;

    private final ConcurrencyQuota metered = new ConcurrencyQuota(TWO_OPEN, REPLICAS, true);

    @Test
    void requestsOpenAtOtherGatewaysCountTowardsTheLimit() {
        ConcurrencyQuota quota = new ConcurrencyQuota(TWO_OPEN, REPLICAS, false);
        quota.opened(0, EXPECTED_MS);
        assertTrue(quota.fitsTotal());
        quota.addOpenAtPeers(1);
        assertFalse(quota.fitsTotal());
        quota.closed();
        assertTrue(quota.fitsTotal());
    }

    @Test
    void shareOfLessThanOneRequestAdmitsOne() {
        assertTrue(metered.fitsShare(1.0 / REPLICAS));
        metered.opened(0, EXPECTED_MS);
        assertFalse(metered.fitsShare(1.0 / REPLICAS));
    }

    @Test
    void admissionsArePacedIfOnlyTheMeterReportsUse() {
        metered.opened(0, EXPECTED_MS);
        double pauseMs = REPLICAS * EXPECTED_MS / 2 / 4; // a quarter of the set uses the limit of two
        assertFalse(metered.isNextAdmissionDue(pauseMs - 1));
        assertTrue(metered.isNextAdmissionDue(pauseMs));
    }

    @Test
    void admissionsAreNotPacedIfPeersReportUse() {
        ConcurrencyQuota quota = new ConcurrencyQuota(TWO_OPEN, REPLICAS, false);
        quota.opened(0, EXPECTED_MS);
        assertTrue(quota.isNextAdmissionDue(0));
    }

    @Test
    void ownRequestsAreSubtractedFromAMeteredPeak() {
        metered.opened(0, EXPECTED_MS);
        metered.recordMeteredPeak(0, 1.5);
        assertEquals(2, metered.openAtPeers());
    }

    @Test
    void meteredPeakIsValidForOneAndAHalfAdmissionIntervals() {
        metered.opened(0, EXPECTED_MS);
        metered.recordMeteredPeak(0, 1.5);
        double validMs = 1.5 * REPLICAS * EXPECTED_MS / 2;
        assertTrue(metered.isMeteredPeakValid(validMs - 1));
        assertFalse(metered.isMeteredPeakValid(validMs));
    }
}
