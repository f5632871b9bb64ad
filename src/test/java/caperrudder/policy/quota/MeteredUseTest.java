package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import org.junit.jupiter.api.Test;

/** Checks share and admission by the meter's figures, with 4 units per second, a burst of 12 and four gateways. */
class MeteredUseTest {
    private static final Plan SMALL = new Plan("small", 4, 12, 0, 1, 0, 1, 0, 0, 0);
    private static final int REPLICAS = 4;
    private static final double EVEN_SHARE = 0.25;
    private static final double NOW = 10_000;

    private final MeteredUse meter = new MeteredUse(SMALL, REPLICAS);

    @Test
    void shareIsEvenBeforeTheFirstFigure() {
        assertEquals(EVEN_SHARE, meter.share(NOW));
    }

    @Test
    void shareFollowsThisGatewaysShareOfTheUse() {
        meter.charge(8); // 4 units per second with a time constant of 2 s
        meter.recordRate(NOW, 2, 0);
        assertEquals(0.5, meter.share(NOW));
    }

    @Test
    void shareRisesAStepIfDemandExceedsItAndTheQuotaHasCapacity() {
        meter.charge(2);
        meter.recordRate(NOW, 0.5, 4);
        assertEquals(0.55, meter.share(NOW), 1e-9);
    }

    @Test
    void shareIsEvenAfterTheFigureExpires() {
        meter.charge(8);
        meter.recordRate(NOW, 2, 0);
        assertEquals(EVEN_SHARE, meter.share(NOW + 20_000));
    }

    @Test
    void useByOtherGatewaysIsSubtractedIfAFreshFigureIsOverTheRate() {
        meter.recordRate(NOW, 2, 0); // 8 units per second, all used by other gateways
        assertTrue(meter.admits(NOW, 1)); // 12 - 8 * 1.3 s
        assertFalse(meter.admits(NOW, 2));
    }

    @Test
    void bucketMustHoldTwiceTheUnitsWithoutAFreshFigure() {
        meter.charge(5);
        assertTrue(meter.admits(NOW, 3));
        assertFalse(meter.admits(NOW, 4));
    }

    @Test
    void useByOtherGatewaysDrainsTheBucketBetweenFigures() {
        meter.recordRate(NOW, 2, 0);
        meter.refill(NOW, 1);
        assertEquals(8, meter.level());
        meter.refill(NOW, 60);
        assertEquals(0, meter.level());
    }
}
