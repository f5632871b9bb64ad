package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks which requests are admitted, given the probability that they are over the quota. */
class ExpectedValueAdmissionTest {
    private static final double METER_PERIOD_MS = 1000;
    private static final double NO_FIGURE_AGE_MS = Double.POSITIVE_INFINITY;
    private static final int LEARNED_RESPONSES = 50;
    private static final int REQUESTS = 100;

    private static ExpectedValueAdmission admission(double unitsPerSecond, int concurrencyLimit) {
        return new ExpectedValueAdmission(
                new Plan("plan", unitsPerSecond, 8 * unitsPerSecond, concurrencyLimit, 1, 0, 1.2, 0, 0, 0),
                METER_PERIOD_MS);
    }

    private static void learn(ExpectedValueAdmission admission, double useMultiple, double units) {
        IntStream.range(0, LEARNED_RESPONSES).forEach(i -> admission.recordResponse(0, units, useMultiple));
    }

    private static long countAdmitted(
            ExpectedValueAdmission admission, double now, double units, double valueShare, double delayCostShare) {
        return IntStream.range(0, REQUESTS)
                .filter(i -> admission.admits(now, units, valueShare, delayCostShare, NO_FIGURE_AGE_MS, 0))
                .count();
    }

    @Test
    void allRequestsAreAdmittedBeforeTheFirstResponse() {
        assertEquals(REQUESTS, countAdmitted(admission(1, 0), 0, 4, 1, 0));
    }

    @Test
    void fewRequestsAreAdmittedIfMostAreOverTheQuota() {
        ExpectedValueAdmission admission = admission(1, 0);
        learn(admission, 6, 1);
        long admitted = countAdmitted(admission, 0, 1, 1, 0);
        assertTrue(admitted > 0 && admitted < REQUESTS / 5, "admitted " + admitted);
    }

    @Test
    void fewerLargeRequestsAreAdmittedWithARate() {
        ExpectedValueAdmission admission = admission(1, 0);
        learn(admission, 1.5, 2);
        assertEquals(REQUESTS, countAdmitted(admission, 0, 1, 1, 0));
        assertTrue(countAdmitted(admission, 0, 4, 1, 0) < REQUESTS / 2);
    }

    @Test
    void sizeOfARequestIsIgnoredWithAConcurrencyLimit() {
        ExpectedValueAdmission admission = admission(0, 2);
        learn(admission, 0.5, 2);
        assertEquals(REQUESTS, countAdmitted(admission, 0, 4, 1, 0));
        learn(admission, 3, 2);
        assertTrue(countAdmitted(admission, 0, 1, 1, 0) < REQUESTS / 5);
    }

    @Test
    void fewerRequestsThatAreLateOrDelayOthersAreAdmitted() {
        ExpectedValueAdmission admission = admission(1, 0);
        learn(admission, 1.5, 1);
        assertEquals(REQUESTS, countAdmitted(admission, 0, 1, 1, 0));
        assertTrue(countAdmitted(admission, 0, 1, 0.2, 0) < REQUESTS / 2);
        assertTrue(countAdmitted(admission, 0, 1, 1, 0.6) < REQUESTS / 2);
    }

    @Test
    void estimateDecaysWithoutResponses() {
        ExpectedValueAdmission admission = admission(1, 0);
        learn(admission, 6, 1);
        assertEquals(REQUESTS, countAdmitted(admission, 200_000, 1, 1, 0));
    }

    @Test
    void freshFigureOfTheCustomerOutweighsTheEstimateOfItsPlan() {
        ExpectedValueAdmission admission = admission(1, 0);
        learn(admission, 6, 1);
        assertEquals(
                REQUESTS,
                IntStream.range(0, REQUESTS)
                        .filter(i -> admission.admits(0, 1, 1, 0, 100, 0.5))
                        .count());
    }
}
