package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.HealthSnapshot;
import org.junit.jupiter.api.Test;

class OutlierScoreTest {
    private static final double GAIN = 0.4;
    private final OutlierScore score = new OutlierScore();

    @Test
    void aNewScoreHasNoPenaltyAndNoFailures() {
        assertEquals(1, score.latencyPenalty(1e6));
        assertFalse(score.hasFailures());
    }

    @Test
    void theFirstFailureGetsALowWeightAndTheNextOneTheGivenGain() {
        score.recordFailure(GAIN, 0);
        assertEquals(1 + 0.1 * 11, score.latencyPenalty(0), 1e-9);
        score.recordFailure(GAIN, 0);
        assertEquals(2.1 + GAIN * (12 - 2.1), score.latencyPenalty(0), 1e-9);
    }

    @Test
    void afterFailuresAreClearedTheNextOneCountsAsTheFirst() {
        score.recordFailure(GAIN, 0);
        score.clearFailures();
        double before = score.latencyPenalty(0);
        score.recordFailure(GAIN, 0);
        assertEquals(before + 0.1 * (12 - before), score.latencyPenalty(0), 1e-9);
        assertTrue(score.hasFailures());
    }

    @Test
    void anObservedPenaltyIsLimitedToTheMaximum() {
        score.record(1000, 1, 0);
        assertEquals(12, score.latencyPenalty(0), 1e-9);
    }

    @Test
    void withoutObservationsThePenaltyDecaysToOne() {
        score.record(5, 1, 0);
        assertEquals(1 + 4 / Math.E, score.latencyPenalty(6000), 1e-9);
        assertEquals(1, score.latencyPenalty(1e6), 1e-9);
    }

    @Test
    void restoringLimitsThePenaltyToTheMaximumAndTheUpdateTimeToNow() {
        score.restore(new HealthSnapshot("h", "", 50, 900, 2), 100);
        assertEquals(new HealthSnapshot("h", "read", 12, 100, 2), score.toSnapshot("h", "read"));
    }
}
