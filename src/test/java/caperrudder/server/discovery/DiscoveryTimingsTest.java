package caperrudder.server.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The longest ways of docs/incidents/discovery-longest-path.md, added up over many draws. */
class DiscoveryTimingsTest {
    private static final double TOLD_MS = 6000; // after discovery had a change and could be reached
    private static final double MOVED_MS = 4000; // after SIGHUP
    private static final double LINE_MS = 1500; // in which discovery answers a call that it does not refuse
    private static final double SHORT_LINE_MS = 1000; // where one call was silent and the one beside it refused
    private static final double REFUSES_MS = 9000; // more than is heeded
    private static final int SEEDS = 2000;

    /** {@code graceMs}: short, usual, and longer than the time in which news count as told. */
    @ParameterizedTest
    @CsvSource({"false,250", "false,1000", "true,250", "true,1000", "true,8000"})
    void longestWaysEndWithinTheirLimits(boolean pushed, double graceMs) {
        double line = pushed ? 0 : LINE_MS; // an agent nearby answers at once
        double shortLine = pushed ? 0 : SHORT_LINE_MS;
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryTimings t = new DiscoveryTimings(pushed, graceMs, seed);
            int failures = seed % 12;
            double rest = t.backoffMs(REFUSES_MS, failures, false);
            ends(rest + t.firstAnswerMs() + t.hedgeMs(), TOLD_MS, "rest, silence, a call beside it");
            ends(
                    rest + t.firstAnswerMs() + t.backoffMs(REFUSES_MS, failures + 1, true) + shortLine,
                    TOLD_MS,
                    "silence, refusal");
            ends(rest + line + t.backoffMs(REFUSES_MS, failures + 1, false) + line, TOLD_MS, "rest, refusal, rest");
            ends(
                    DiscoveryTimings.CONNECT_TIMEOUT_MS + rest + t.firstAnswerMs() + line,
                    TOLD_MS,
                    "connect, rest, silence");
            double watch = t.watchMs() + t.queueMs();
            ends(watch + line, TOLD_MS, "silent watch");
            ends(watch + t.backoffMs(REFUSES_MS, 0, true) + shortLine, TOLD_MS, "silent watch, refusal beside it");
            ends(t.firstAnswerMs() + t.backoffMs(REFUSES_MS, 0, true) + line, MOVED_MS, "move, silence, refusal");
            ends(t.backoffMs(REFUSES_MS, 0, true) + t.firstAnswerMs() + line, MOVED_MS, "move, refusal, silence");
            if (pushed) {
                ends(
                        (double) t.backoffMs(REFUSES_MS, failures, failures == 0),
                        Math.max(75, 0.45 * graceMs),
                        "a rest nearby");
            }
        }
    }

    private static void ends(double ms, double limitMs, String way) {
        assertTrue(ms <= limitMs, () -> way + " takes " + ms);
    }

    /** Those whose calls were refused in one moment, or whose watches fell silent in one, are spread out. */
    @Test
    void jitterSpreadsThePollsOfAFleet() {
        int fleet = 100;
        assertSpread(fleet, 20, t -> t.backoffMs(REFUSES_MS, 0, false));
        assertSpread(fleet, 45, t -> t.backoffMs(REFUSES_MS, 0, true));
        assertSpread(fleet, 38, t -> t.watchMs() + t.queueMs());
        assertSpread(fleet, 38, t -> t.firstAnswerMs());
    }

    private static void assertSpread(int fleet, int most, ToDoubleFunction<DiscoveryTimings> time) {
        double[] calls = new Random(1)
                .longs(fleet) // as configurations give them
                .mapToDouble(seed -> time.applyAsDouble(new DiscoveryTimings(false, 500, seed)))
                .toArray();
        int together = Arrays.stream(calls)
                .mapToInt(from -> (int) Arrays.stream(calls)
                        .filter(c -> c >= from && c < from + 100)
                        .count())
                .max()
                .orElse(0);
        assertTrue(together <= most, together + " of " + fleet + " call within 100 ms");
    }
}
