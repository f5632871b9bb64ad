package caperrudder.policy.quota;

import caperrudder.api.Plan;

/**
 * This gateway's share of a plan's ceiling, the hard limit that a replica set must not exceed (BENCH, fifth rule).
 * The shares of a replica set sum to one. Each gateway spends only its own share; owners can grant units to others.
 *
 * <p>Not thread-safe.
 */
final class CeilingBucket {
    private static final double MS_PER_SECOND = 1000;

    private final Plan plan;
    private final double share;
    private double level;
    private double unsentUnits; // reserved for admitted requests that have not been sent to a host yet

    /**
     * Creates a bucket that holds this gateway's share of the units of the time since it started, at most its share of
     * the burst. It does not start with a full burst, because the predecessor may have spent it.
     *
     * @param share this gateway's share of the ceiling, 0 to 1
     * @param elapsedMs time since this gateway started
     */
    CeilingBucket(Plan plan, double share, double elapsedMs) {
        this.plan = plan;
        this.share = share;
        double filled = elapsedMs / MS_PER_SECOND * plan.ceilingUnitsPerSecond() * share;
        this.level = Math.min(capacity(), filled);
    }

    private double capacity() {
        return plan.ceilingBurstUnits() * share;
    }

    /** Returns whether the plan has a ceiling. */
    boolean isLimited() {
        return plan.ceilingUnitsPerSecond() > 0;
    }

    double level() {
        return level;
    }

    /** Returns whether the bucket holds {@code units}; always true if the plan has no ceiling. */
    boolean admits(double units) {
        return !isLimited() || level >= units;
    }

    /**
     * Adds the units of an interval. Units that are reserved but not sent yet still take up capacity. The hosts count
     * them only later, and would then count more than the burst if the bucket were full again by that time (BENCH,
     * fifth rule).
     */
    void refill(double seconds) {
        level = Math.min(capacity() - unsentUnits, level + plan.ceilingUnitsPerSecond() * share * seconds);
    }

    /**
     * Adds units that another gateway granted. That gateway reports them as a running total.
     *
     * @param totalGranted units granted by the other gateway so far
     * @param alreadyReceived the part of them that this bucket has received before
     */
    void receive(double totalGranted, double alreadyReceived) {
        level = Math.min(capacity() - unsentUnits, level + totalGranted - alreadyReceived);
    }

    /** Reserves units for an admitted request until it is sent. */
    void reserve(double units) {
        unsentUnits += units;
        level -= units;
    }

    /** Marks reserved units as sent with their request. */
    void markSent(double units) {
        unsentUnits -= units;
    }

    /**
     * Refunds reserved units of a request that did not reach a host as a whole.
     *
     * @param markedSent whether they were marked as sent
     */
    void refund(double units, boolean markedSent) {
        if (!markedSent) unsentUnits -= units;
        level = Math.min(capacity() - unsentUnits, level + units);
    }

    /** Takes units that are granted to another gateway. */
    void grant(double units) {
        level -= units;
    }
}
