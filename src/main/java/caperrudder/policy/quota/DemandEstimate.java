package caperrudder.policy.quota;

/**
 * A customer's demand in units per second, at this gateway and at the others of its replica set, as exponentially
 * fading averages.
 *
 * <p>Not thread-safe.
 */
public final class DemandEstimate {
    private static final double AVERAGING_MS = 2000; // longer than the usual gap between a customer's requests
    private static final double MS_PER_SECOND = 1000;

    private double own;
    private double others;

    DemandEstimate() {}

    /** What remains of an average, 0 to 1, after so much time in which nothing was added. */
    public static double fadeOver(double elapsedMs) {
        return Math.exp(-elapsedMs / AVERAGING_MS);
    }

    /** What units used or demanded at one time add to an average, in units per second. */
    static double perSecond(double units) {
        return units / AVERAGING_MS * MS_PER_SECOND;
    }

    double own() {
        return own;
    }

    double others() {
        return others;
    }

    double total() {
        return own + others;
    }

    void fade(double factor) {
        own *= factor;
        others *= factor;
    }

    void addOwn(double unitsPerSecond) {
        own += unitsPerSecond;
    }

    void setOthers(double unitsPerSecond) {
        others = unitsPerSecond;
    }

    /** Replaces what one other gateway demanded before by what it demands now. */
    void replaceOthers(double newUnitsPerSecond, double oldUnitsPerSecond) {
        others = Math.max(0, others + newUnitsPerSecond - oldUnitsPerSecond);
    }
}
