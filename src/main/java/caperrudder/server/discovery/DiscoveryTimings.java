package caperrudder.server.discovery;

import java.util.Random;

/**
 * How long calls to discovery wait and rest, in ms. What it has to tell counts as told 6 s after it had that and could
 * be reached, and 4 s after a move to another address: the longest ways through {@link DiscoveryClient} end within these,
 * as docs/incidents/discovery-longest-path.md adds up. What is drawn by lot keeps a fleet from calling in step.
 */
final class DiscoveryTimings {
    static final int CONNECT_MS = 1000;
    private static final double HOLD_MS = 3000; // the longest that a watch asks discovery to wait
    private static final double HOLD_SPREAD = 0.1; // watches that were answered together end their wait one by one
    private static final double LINE_MS = 1500; // where the call stands in discovery's line,
    private static final double NEARBY_MS = 1000; // and where the agent answers at once
    private static final double FIRST_MS = 2000; // from the start of a new connection's connect to its first answer
    private static final double DOUBT_SPREAD = 0.25; // of either: those who fell silent together doubt one by one
    private static final double BESIDE_MS = 2500; // the same of a call beside a silent one
    private static final double BESIDE_SHARE = 0.4; // of a drain's grace, for an agent nearby
    private static final double AGAIN_MS = 50; // after a failure; a watch is broken only after 200
    private static final double AGAIN_MAX_MS = 1000; // after many, or where more is told: 1.5 times this at most
    private static final double TOO_LONG_MS = 2000; // after a whole list that can't be held, whoever brings it
    private static final double AGAIN_LATE_MS = 330; // after the first, where that came late: what is left is little
    private static final double AGAIN_SHARE = 0.3; // of a drain's grace, where what an agent nearby holds is told
    private static final double NEARBY_MAX_MS = 1000; // however long a drain's grace: a silent watch took 4 s before

    private final boolean pushed; // to an agent on this machine: calls cost nothing, and all that it holds is told
    private final double graceMs;
    private final Random random;

    /** {@code graceMs}: in which a drain that was told has to be heeded. */
    DiscoveryTimings(boolean pushed, double graceMs, long seed) {
        this.pushed = pushed;
        this.graceMs = graceMs;
        this.random = new Random(seed);
    }

    /** For how long the next watch asks to be held. */
    long holdMs() {
        return (long) (pushed ? HOLD_MS : HOLD_MS * (1 - HOLD_SPREAD * random.nextDouble()));
    }

    /** Beyond its wait, after which a watch with no answer is doubted. */
    double lineMs() {
        return pushed ? NEARBY_MS : LINE_MS * (1 - DOUBT_SPREAD * random.nextDouble());
    }

    /** From the start of a connection's connect, after which its first call is doubted. */
    double firstMs() {
        return pushed ? NEARBY_MS : FIRST_MS * (1 - DOUBT_SPREAD * random.nextDouble());
    }

    /** From the start of its connect, after which a call beside a silent one is given up. */
    double besideMs() {
        return pushed ? nearby(BESIDE_SHARE) : BESIDE_MS;
    }

    /**
     * The rest after a call that failed, of which the answer told {@code toldMs}; {@code failures} came before it
     * since the last good answer. {@code late}: it was made beside a silent call, or to an agent just moved to.
     */
    long pauseMs(double toldMs, int failures, boolean late) {
        double most = pushed ? nearby(AGAIN_SHARE) : late && failures == 0 ? AGAIN_LATE_MS : AGAIN_MAX_MS;
        double wait = Math.min(most, Math.max(toldMs, AGAIN_MS * Math.pow(2, failures)));
        return (long) (wait * (0.5 + random.nextDouble()));
    }

    /** The rest after a list that memory does not hold: it will hardly be shorter the next moment. */
    long tooLongMs() {
        return (long) (TOO_LONG_MS * (0.5 + random.nextDouble()));
    }

    private double nearby(double share) {
        return Math.max(AGAIN_MS, Math.min(NEARBY_MAX_MS, share * graceMs));
    }
}
