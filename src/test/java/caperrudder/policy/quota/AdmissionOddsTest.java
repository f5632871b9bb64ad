package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What a gateway makes of the odds that a try of a customer it does not know is beyond its quota. */
class AdmissionOddsTest {
    private static final double PERIOD_MS = 1000;
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final int TRIES = 100;

    private static AdmissionOdds odds(double rate, int openLimit) {
        return new AdmissionOdds(new Plan("plan", rate, 8 * rate, openLimit, 1, 0, 1.2, 0, 0, 0), PERIOD_MS);
    }

    private static void learn(AdmissionOdds odds, double use, double units) {
        IntStream.range(0, 50).forEach(i -> odds.learn(0, units, use));
    }

    private static long admitted(AdmissionOdds odds, double now, double units, double usefulShare, double taken) {
        return IntStream.range(0, TRIES)
                .filter(i -> odds.admits(now, units, usefulShare, taken, NEVER, 0))
                .count();
    }

    @Test
    void beforeAnyAnswerAllAreLetIn() {
        assertEquals(TRIES, admitted(odds(1, 0), 0, 4, 1, 0));
    }

    @Test
    void whereMostTurnOutBeyondFewAreLetInButSome() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        long admitted = admitted(odds, 0, 1, 1, 0);
        assertTrue(admitted > 0 && admitted < TRIES / 5, "" + admitted);
    }

    @Test
    void ofPlansWithARateTheLargerRequestsAreLetInLess() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 1.5, 2);
        assertEquals(TRIES, admitted(odds, 0, 1, 1, 0));
        assertTrue(admitted(odds, 0, 4, 1, 0) < TRIES / 2);
    }

    @Test
    void underALimitOnOpenAttemptsTheirSizeDoesNotMatter() {
        AdmissionOdds odds = odds(0, 2);
        learn(odds, 0.5, 2);
        assertEquals(TRIES, admitted(odds, 0, 4, 1, 0));
        learn(odds, 3, 2);
        assertTrue(admitted(odds, 0, 1, 1, 0) < TRIES / 5);
    }

    @Test
    void whatWouldComeTooLateOrDelaysOthersIsWorthLess() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 1.5, 1);
        assertEquals(TRIES, admitted(odds, 0, 1, 1, 0));
        assertTrue(admitted(odds, 0, 1, 0.2, 0) < TRIES / 2);
        assertTrue(admitted(odds, 0, 1, 1, 0.6) < TRIES / 2);
    }

    @Test
    void oddsThatNoAnswerConfirmsFade() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        assertEquals(TRIES, admitted(odds, 200_000, 1, 1, 0));
    }

    @Test
    void aFreshFigureOfTheCustomerCountsMoreThanThoseOfItsPlan() {
        AdmissionOdds odds = odds(1, 0);
        learn(odds, 6, 1);
        assertEquals(
                TRIES,
                IntStream.range(0, TRIES)
                        .filter(i -> odds.admits(0, 1, 1, 0, 100, 0.5))
                        .count());
    }
}
