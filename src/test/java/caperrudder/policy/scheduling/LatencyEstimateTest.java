package caperrudder.policy.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The expected latency by request size, and the base latency. */
class LatencyEstimateTest {
    private final LatencyEstimate estimate = LatencyEstimate.initial(1000, 4);

    @Test
    void initialEstimateForTheLargestRequestIsAFifthOfTheObjective() {
        assertEquals(200, estimate.expectedMs(4), 1e-9);
        assertEquals(0, estimate.sampleCount());
    }

    @Test
    void firstSampleReplacesTheInitialEstimate() {
        estimate.addSample(60, 2);
        assertEquals(30, estimate.expectedMs(1), 1e-9);
        assertEquals(1, estimate.sampleCount());
    }

    @Test
    void smallRequestsAreEstimatedAsATenthOfAUnit() {
        estimate.addSample(30, 1);
        assertEquals(3, estimate.expectedMs(0), 1e-9);
    }

    @Test
    void baseFollowsLowerLatenciesAtOnceAndHigherOnesSlowly() {
        for (int i = 0; i < 40; i++) {
            estimate.addSample(30, 1);
        }
        estimate.updateBase();
        assertEquals(30, estimate.baseMs(1), 1e-9);
        for (int i = 0; i < 40; i++) {
            estimate.addSample(300, 1);
        }
        estimate.updateBase();
        assertEquals(30 * 1.002, estimate.baseMs(1), 1e-9);
        assertTrue(estimate.expectedMs(1) > 200);
    }
}
