package caperrudder.policy.quota;

/**
 * A customer's demand in units per second, at this gateway and at the other gateways of its replica set, as averages
 * with exponential decay.
 *
 * <p>Not thread-safe.
 */
public final class DemandEstimate {
    /** Time constant of the averages; longer than the usual interval between requests of one customer. */
    private static final double TIME_CONSTANT_MS = 2000;

    private static final double MS_PER_SECOND = 1000;

    private double ownPerSecond;
    private double peersPerSecond;

    DemandEstimate() {}

    /** Returns the factor, 0 to 1, by which an average decays over an interval in which nothing is added. */
    public static double decayFactor(double elapsedMs) {
        return StrictMath.exp(-elapsedMs / TIME_CONSTANT_MS);
    }

    /** Returns the increase of an average, in units per second, when {@code units} are used or requested at once. */
    static double rateIncrease(double units) {
        return units / TIME_CONSTANT_MS * MS_PER_SECOND;
    }

    /** Returns the demand at this gateway. */
    double ownPerSecond() {
        return ownPerSecond;
    }

    /** Returns the demand at the other gateways of the replica set. */
    double peersPerSecond() {
        return peersPerSecond;
    }

    double totalPerSecond() {
        return ownPerSecond + peersPerSecond;
    }

    void decay(double factor) {
        ownPerSecond *= factor;
        peersPerSecond *= factor;
    }

    void addOwnPerSecond(double unitsPerSecond) {
        ownPerSecond += unitsPerSecond;
    }

    void setPeersPerSecond(double unitsPerSecond) {
        peersPerSecond = unitsPerSecond;
    }

    /** Replaces the previous demand of one other gateway by its present demand. */
    void replacePeerPerSecond(double newUnitsPerSecond, double oldUnitsPerSecond) {
        peersPerSecond = Math.max(0, peersPerSecond + newUnitsPerSecond - oldUnitsPerSecond);
    }
}
