package caperrudder.server;

import caperrudder.api.RequestClass;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * When the steps of a graceful shutdown come, in ms after SIGTERM. The platform kills no sooner than the longest
 * deadline and some more (page DEPLOY). Clients use the connections that they have until these close, and what replaces
 * this gateway starts only after the kill: so they are served as long as what they send can be expected to end in time.
 *
 * @param stopAcceptingMs when the listener closes
 * @param stopServingMs when connections close with their next answer
 * @param abandonMs when what is still open is given up
 */
record DrainTimings(long stopAcceptingMs, long stopServingMs, long abandonMs) {
    private static final long STOP_ACCEPTING_MS = 500; // new connections come for up to 400
    private static final double KILL_AFTER_DEADLINE_MS = 700;
    private static final double DEADLINE_MAX_MS = 3000; // a longer one counts as this
    private static final double EXIT_RESERVE_MS = 400; // before the kill, for answers on their way and the exit
    private static final double ABANDON_MAX_MS = 3000;

    static DrainTimings of(List<RequestClass> classes) {
        double deadline = Math.min(DEADLINE_MAX_MS, longest(classes, RequestClass::clientTimeoutMs));
        double abandon = Math.min(ABANDON_MAX_MS, deadline + KILL_AFTER_DEADLINE_MS - EXIT_RESERVE_MS);
        double stopServing = abandon - longest(classes, RequestClass::latencyObjectiveMs);
        return new DrainTimings(
                STOP_ACCEPTING_MS, Math.max(STOP_ACCEPTING_MS, (long) stopServing), Math.max(STOP_ACCEPTING_MS, (long)
                        abandon));
    }

    private static double longest(List<RequestClass> classes, ToDoubleFunction<RequestClass> time) {
        return classes.stream().mapToDouble(time).max().orElse(0);
    }
}
