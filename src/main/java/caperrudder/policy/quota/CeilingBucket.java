package caperrudder.policy.quota;

import caperrudder.api.Plan;

/**
 * This gateway's share of a plan's ceiling, the hard limit that no replica set may pass (BENCH, fifth rule).
 * Shares sum to one over the replica set, and each is spent by its holder alone; owners may hand units on.
 *
 * <p>Not thread-safe.
 */
final class CeilingBucket {
    private static final double MS_PER_SECOND = 1000;

    private final Plan plan;
    private final double share;
    private double level;
    private double unsentUnits; // admitted, but their requests have not left yet

    /**
     * @param share of the ceiling, 0 to 1
     * @param elapsedMs time since this gateway started. The bucket begins with what has filled since then, never with
     *     a burst: the process before may have spent it.
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

    /** Whether the plan has a ceiling at all. */
    boolean isLimited() {
        return plan.ceilingUnitsPerSecond() > 0;
    }

    double level() {
        return level;
    }

    /** True where there is no ceiling, too. */
    boolean admits(double units) {
        return !isLimited() || level >= units;
    }

    /** Units not sent yet are still in the bucket that the hosts see, and it may not overfill (BENCH, fifth rule). */
    void refill(double seconds) {
        level = Math.min(capacity() - unsentUnits, level + plan.ceilingUnitsPerSecond() * share * seconds);
    }

    /**
     * Units come from another gateway, reported as running totals.
     *
     * @param givenInAll units that it gave so far
     * @param takenBefore those of them that are counted here already
     */
    void receive(double givenInAll, double takenBefore) {
        level = Math.min(capacity() - unsentUnits, level + givenInAll - takenBefore);
    }

    /** Takes units for a request that is yet to leave, or gives back those of one that never will (negative). */
    void reserve(double units) {
        unsentUnits += units;
        level -= units;
    }

    /** The request that units were reserved for has left. */
    void sent(double units) {
        unsentUnits -= units;
    }

    /** Units go to another gateway. */
    void handOver(double units) {
        level -= units;
    }
}
