package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Admission by the odds that a request of an unknown customer is beyond its quota. */
class AdmissionOddsTest {
    private static final double PERIOD_MS = 1000;
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final int REQUESTS = 100;

    private static AdmissionOdds odds(double rate, int openLimit) {
        return new AdmissionOdds(new Plan("plan", rate, 8 * rate, openLimit, 1, 0, 1.2, 0, 0, 0), PERIOD_MS);
    }

    private static void learn(AdmissionOdds odds, double use, double units) {
        IntStream.range(0, 50).forEach(i -> odds.learn(0, units, use));
    }

    private static long admitted(AdmissionOdds odds, double now, double units, double usefulShare, double taken) {
        return IntStream.range(0, REQUESTS)
                .filter(i -> odds.admits(now, units, usefulShare, taken, NEVER, 0))
                .count();
    }

    @Test
    void beforeAnyResponseAllAreAdmitted() {
        assertEquals(REQUESTS, admitted(odds(1, 0), 0, 4, 1, 0));
    }

    @Test
    void wherePlansAreExceededFewRequestsAreAdmittedButSome() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        long admitted = admitted(odds, 0, 1, 1, 0);
        assertTrue(admitted > 0 && admitted < REQUESTS / 5, "" + admitted);
    }

    @Test
    void withARateLargerRequestsAreAdmittedLess() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 1.5, 2);
        assertEquals(REQUESTS, admitted(odds, 0, 1, 1, 0));
        assertTrue(admitted(odds, 0, 4, 1, 0) < REQUESTS / 2);
    }

    @Test
    void withAConcurrencyLimitSizeDoesNotMatter() {
        AdmissionOdds odds = odds(0, 2);
        learn(odds, 0.5, 2);
        assertEquals(REQUESTS, admitted(odds, 0, 4, 1, 0));
        learn(odds, 3, 2);
        assertTrue(admitted(odds, 0, 1, 1, 0) < REQUESTS / 5);
    }

    @Test
    void lateOrDelayingRequestIsWorthLess() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 1.5, 1);
        assertEquals(REQUESTS, admitted(odds, 0, 1, 1, 0));
        assertTrue(admitted(odds, 0, 1, 0.2, 0) < REQUESTS / 2);
        assertTrue(admitted(odds, 0, 1, 1, 0.6) < REQUESTS / 2);
    }

    @Test
    void oddsThatNoResponseConfirmsFade() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        assertEquals(REQUESTS, admitted(odds, 200_000, 1, 1, 0));
    }

    @Test
    void freshFigureOfTheCustomerOutweighsItsPlan() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        assertEquals(
                REQUESTS,
                IntStream.range(0, REQUESTS)
                        .filter(i -> odds.admits(0, 1, 1, 0, 100, 0.5))
                        .count());
    }
}
