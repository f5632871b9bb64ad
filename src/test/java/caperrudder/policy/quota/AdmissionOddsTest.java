package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks which requests are admitted, given the probability that they are over the quota. */
class AdmissionOddsTest {
    private static final double METER_PERIOD_MS = 1000;
    private static final double NO_FIGURE_AGE_MS = Double.POSITIVE_INFINITY;
    private static final int LEARNED_RESPONSES = 50;
    private static final int REQUESTS = 100;

    private static AdmissionOdds odds(double unitsPerSecond, int concurrencyLimit) {
        return new AdmissionOdds(
                new Plan("plan", unitsPerSecond, 8 * unitsPerSecond, concurrencyLimit, 1, 0, 1.2, 0, 0, 0),
                METER_PERIOD_MS);
    }

    private static void learn(AdmissionOdds odds, double useMultiple, double units) {
        IntStream.range(0, LEARNED_RESPONSES).forEach(i -> odds.learn(0, units, useMultiple));
    }

    private static long countAdmitted(
            AdmissionOdds odds, double now, double units, double valueShare, double delayCostShare) {
        return IntStream.range(0, REQUESTS)
                .filter(i -> odds.admits(now, units, valueShare, delayCostShare, NO_FIGURE_AGE_MS, 0))
                .count();
    }

    @Test
    void allRequestsAreAdmittedBeforeTheFirstResponse() {
        assertEquals(REQUESTS, countAdmitted(odds(1, 0), 0, 4, 1, 0));
    }

    @Test
    void fewRequestsAreAdmittedIfMostAreOverTheQuota() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        long admitted = countAdmitted(odds, 0, 1, 1, 0);
        assertTrue(admitted > 0 && admitted < REQUESTS / 5, "admitted " + admitted);
    }

    @Test
    void fewerLargeRequestsAreAdmittedWithARate() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 1.5, 2);
        assertEquals(REQUESTS, countAdmitted(odds, 0, 1, 1, 0));
        assertTrue(countAdmitted(odds, 0, 4, 1, 0) < REQUESTS / 2);
    }

    @Test
    void sizeOfARequestIsIgnoredWithAConcurrencyLimit() {
        AdmissionOdds odds = odds(0, 2);
        learn(odds, 0.5, 2);
        assertEquals(REQUESTS, countAdmitted(odds, 0, 4, 1, 0));
        learn(odds, 3, 2);
        assertTrue(countAdmitted(odds, 0, 1, 1, 0) < REQUESTS / 5);
    }

    @Test
    void fewerRequestsThatAreLateOrDelayOthersAreAdmitted() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 1.5, 1);
        assertEquals(REQUESTS, countAdmitted(odds, 0, 1, 1, 0));
        assertTrue(countAdmitted(odds, 0, 1, 0.2, 0) < REQUESTS / 2);
        assertTrue(countAdmitted(odds, 0, 1, 1, 0.6) < REQUESTS / 2);
    }

    @Test
    void estimateDecaysWithoutResponses() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        assertEquals(REQUESTS, countAdmitted(odds, 200_000, 1, 1, 0));
    }

    @Test
    void freshFigureOfTheCustomerOutweighsTheEstimateOfItsPlan() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        assertEquals(
                REQUESTS,
                IntStream.range(0, REQUESTS)
                        .filter(i -> odds.admits(0, 1, 1, 0, 100, 0.5))
                        .count());
    }
}
