package caperrudder.server.discovery;

import java.util.Random;

/**
 * How long polls of discovery wait and how long the client backs off, in ms. An update counts as received 6 s after
 * discovery had it and could be reached, and 4 s after a move to another address (page DEPLOY): the longest ways
 * through {@link DiscoveryClient} end within these, as docs/incidents/discovery-longest-path.md adds up. What is drawn
 * at random keeps a fleet from polling in step. On the event loop only.
 */
public final class DiscoveryTimings {
    static final int CONNECT_TIMEOUT_MS = 1000;

    /** The longest that a watch asks discovery to wait. */
    private static final double WATCH_MS = 3000;

    private static final double WATCH_JITTER = 0.1; // watches that were answered together end their wait one by one

    /** How long a poll may be queued at a shared discovery service beyond its wait. */
    private static final double QUEUE_MS = 1500;

    /** The same at an agent on this machine, which answers at once. */
    private static final double LOCAL_AGENT_MS = 1000;

    /** From the start of a connect to the first answer. */
    private static final double FIRST_ANSWER_MS = 2000;

    private static final double TIMEOUT_JITTER =
            0.25; // of either: watches that fell silent together time out one by one
    /** From the start of its connect to the answer of a hedged poll. */
    private static final double HEDGE_MS = 2500;

    private static final double HEDGE_GRACE_SHARE = 0.4; // of a drain's grace, at an agent on this machine
    private static final double BACKOFF_MIN_MS = 50; // after a failure; a watch is broken only after 200
    private static final double BACKOFF_MAX_MS = 1000; // also where Retry-After asks for more; 1.5 times this at most
    private static final double BACKOFF_OVERDUE_MS = 330; // after a first failure that came late: little time is left
    private static final double BACKOFF_GRACE_SHARE = 0.3; // of a drain's grace, at an agent on this machine
    private static final double LOCAL_MAX_MS = 1000; // however long the drain's grace: a silent watch took 4 s before
    private static final double TOO_LONG_MS = 2000; // after a list that memory does not hold, whoever serves it
    private static final double MIN_JITTER = 0.5; // backoffs are multiplied by 0.5 to 1.5

    private final boolean localAgent;
    private final double drainGraceMs;
    private final Random random;

    /**
     * Timings of one client.
     *
     * @param localAgent the agent runs on this machine: polls cost nothing, and all that it holds is an update
     * @param drainGraceMs in which a gateway has to heed that a host is draining
     */
    public DiscoveryTimings(boolean localAgent, double drainGraceMs, long seed) {
        this.localAgent = localAgent;
        this.drainGraceMs = drainGraceMs;
        this.random = new Random(seed);
    }

    /** For how long the next watch asks discovery to wait. */
    long watchMs() {
        return (long) (localAgent ? WATCH_MS : WATCH_MS * (1 - WATCH_JITTER * random.nextDouble()));
    }

    /** The time beyond its wait after which a watch that is silent is hedged. */
    double queueMs() {
        return localAgent ? LOCAL_AGENT_MS : QUEUE_MS * (1 - TIMEOUT_JITTER * random.nextDouble());
    }

    /** The time from the start of a connection's connect after which its first poll is hedged. */
    double firstAnswerMs() {
        return localAgent ? LOCAL_AGENT_MS : FIRST_ANSWER_MS * (1 - TIMEOUT_JITTER * random.nextDouble());
    }

    /** The time from the start of its connect after which a hedged poll is given up. */
    double hedgeMs() {
        return localAgent ? shareOfGrace(HEDGE_GRACE_SHARE) : HEDGE_MS;
    }

    /**
     * The backoff after a poll that failed.
     *
     * @param retryAfterMs for how long its answer asked to stay away; 0 where it did not
     * @param failures how many polls failed before it since the last good answer
     * @param overdue the time in which an update counts had begun before it: it was a hedged poll, or one of an agent
     *     that was just moved to
     */
    long backoffMs(double retryAfterMs, int failures, boolean overdue) {
        double max = BACKOFF_MAX_MS;
        if (localAgent) {
            max = shareOfGrace(BACKOFF_GRACE_SHARE);
        } else if (overdue && failures == 0) {
            max = BACKOFF_OVERDUE_MS;
        }
        double wait = Math.min(max, Math.max(retryAfterMs, BACKOFF_MIN_MS * Math.pow(2, failures)));
        return jittered(wait);
    }

    /** The backoff after a list that memory does not hold: it will hardly be shorter the next moment. */
    long tooLongBackoffMs() {
        return jittered(TOO_LONG_MS);
    }

    private long jittered(double ms) {
        return (long) (ms * (MIN_JITTER + random.nextDouble()));
    }

    private double shareOfGrace(double share) {
        return Math.max(BACKOFF_MIN_MS, Math.min(LOCAL_MAX_MS, share * drainGraceMs));
    }
}
