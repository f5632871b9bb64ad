package caperrudder.server;

import caperrudder.api.RequestClass;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * When the steps of a planned stop come, in milliseconds after SIGTERM. The platform kills no sooner than the longest
 * deadline and some more. Clients use the connections that they have until they close, and what replaces this gateway
 * starts only after the kill: so those are served as long as what they bring can be expected to end in time.
 */
record DrainTimings(long acceptMs, long serveMs, long endMs) {
    private static final long ACCEPT_MS = 500; // new connections come for up to 400
    private static final double KILL_AFTER_MS = 700; // beyond the longest deadline,
    private static final double DEADLINE_MAX_MS = 3000; // which counts as this where it is longer
    private static final double LAST_MS = 400; // before the kill: answers on their way and the exit have their time
    private static final double END_MAX_MS = 3000;

    static DrainTimings of(List<RequestClass> classes) {
        double deadline = Math.min(DEADLINE_MAX_MS, longest(classes, RequestClass::deadlineMs));
        double end = Math.min(END_MAX_MS, deadline + KILL_AFTER_MS - LAST_MS);
        double serve = end - longest(classes, RequestClass::latencyObjectiveMs);
        return new DrainTimings(ACCEPT_MS, Math.max(ACCEPT_MS, (long) serve), Math.max(ACCEPT_MS, (long) end));
    }

    private static double longest(List<RequestClass> classes, ToDoubleFunction<RequestClass> time) {
        return classes.stream().mapToDouble(time).max().orElse(0);
    }
}
