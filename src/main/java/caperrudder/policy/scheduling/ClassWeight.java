package caperrudder.policy.scheduling;

/**
 * The scheduling weight of one traffic class and what the weight controller measures of it: the class's delay,
 * smoothed, and the slope by which the delay falls as the weight grows (DESIGN: Delay). The weights of all classes sum
 * to one. Delays are milliseconds. Confined to the policy's thread.
 */
final class ClassWeight {
    /** Least weight, as a share of all: no class starves. */
    static final double MIN = 0.02;

    /** Half-width of the band about the goal in which a class is content; the paper's epsilon. */
    static final double EPSILON = 0.1;

    private static final double ALPHA = 0.7; // weight of the old delay average; the paper's alpha
    private static final double GOAL_SHARE = 0.6; // share of the latency objective that a class's mean delay may take
    private static final double FIRST_STEP = 0.05; // of all weight: the step before a slope is known
    private static final double MIN_STEP = 1e-6; // a smaller change of weight tells nothing of the slope

    private final double goalMs;
    private double weight;
    private double delayMs; // smoothed; 0 before the first tick with requests
    private double tickDelayMs; // sum over the requests of the current tick
    private int tickRequests;
    private double slope; // magnitude: delay lost for each unit of weight gained; 0 while not known
    private double markedDelayMs; // when the slope was last measured
    private double markedWeight;

    ClassWeight(double objectiveMs, double weight) {
        this.goalMs = objectiveMs * GOAL_SHARE;
        this.weight = weight;
    }

    /** Counts a request that left the queue after so long. */
    void noteHold(double holdMs) {
        tickDelayMs += holdMs;
        tickRequests++;
    }

    /** Adds the latency of a successful attempt to its request's delay; one of no latency counts as a request. */
    void noteLatency(double latencyMs) {
        tickDelayMs += latencyMs;
        if (!(latencyMs > 0)) tickRequests++;
    }

    /** Takes the mean delay of the tick into the smoothed one, and begins the next tick. */
    void endTick() {
        if (tickRequests > 0) {
            double mean = tickDelayMs / tickRequests;
            delayMs = delayMs == 0 ? mean : ALPHA * delayMs + (1 - ALPHA) * mean;
        }
        tickDelayMs = 0;
        tickRequests = 0;
    }

    /** Slopes are negative; a near-nought or wrongly signed one leaves the last good magnitude in place. */
    void measureSlope() {
        double gained = weight - markedWeight;
        if (markedWeight > 0 && Math.abs(gained) > MIN_STEP) {
            double magnitude = -(delayMs - markedDelayMs) / gained;
            if (magnitude > goalMs * EPSILON) slope = magnitude;
        }
        markedWeight = weight;
        markedDelayMs = delayMs;
    }

    /** The delay as a multiple of its goal. */
    double delayRatio() {
        return delayMs / goalMs;
    }

    /** Whether the class needs more weight: its delay lies above the band about its goal. */
    boolean isUnderweight() {
        return delayRatio() >= 1 + EPSILON;
    }

    /** Weight that would bring the delay of an underweight class to its goal. */
    double wantedWeight() {
        return slope > 0 ? (delayMs - goalMs) / slope : FIRST_STEP;
    }

    /** Weight that the class could lose before its delay reaches its goal; 0 where it is not overweight. */
    double surplus() {
        if (delayMs > (1 - EPSILON) * goalMs) return 0;
        return (goalMs - delayMs) / (slope > 0 ? slope : goalMs);
    }

    /** Most weight that an overweight class may lose and stay below the band about its goal. */
    double largestGift() {
        return slope > 0 ? ((1 - EPSILON) * goalMs - delayMs) / slope : FIRST_STEP;
    }

    /** Gives weight away, as far as the least weight stays; returns what it gave. */
    double give(double wanted) {
        double gift = Math.max(0, Math.min(wanted, weight - MIN));
        weight -= gift;
        return gift;
    }

    void receive(double gift) {
        weight += gift;
    }

    /** Takes over what another process had learned. */
    void restore(double restoredWeight, double restoredDelayMs, double restoredSlope) {
        weight = restoredWeight;
        delayMs = restoredDelayMs;
        slope = restoredSlope;
    }

    /** Share of the dispatched work that the class is entitled to, from {@link #MIN} to 1. */
    double weight() {
        return weight;
    }

    double delayMs() {
        return delayMs;
    }

    double slope() {
        return slope;
    }

    double goalMs() {
        return goalMs;
    }
}
