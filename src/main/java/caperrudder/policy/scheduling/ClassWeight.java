package caperrudder.policy.scheduling;

/**
 * The scheduling weight of one traffic class, with the measurements that the weight controller needs: the smoothed
 * delay of the class, and the slope by which this delay falls as the weight grows (DESIGN: Delay). The weights of all
 * classes sum to one. Delays are in milliseconds. Confined to the policy's thread.
 */
final class ClassWeight {
    /** Minimum weight, as a share of the sum of all weights, so that no class starves. */
    static final double MIN_WEIGHT = 0.02;

    /** Relative tolerance around the delay goal within which a class keeps its weight; epsilon in page PAPER. */
    static final double GOAL_TOLERANCE_RATIO = 0.1;

    private static final double DELAY_RETENTION = 0.7; // of the smoothed delay at each tick; alpha in page PAPER
    private static final double GOAL_OBJECTIVE_SHARE = 0.6; // delay goal as a share of the latency objective
    private static final double INITIAL_WEIGHT_STEP = 0.05; // until a slope is known
    private static final double MIN_SLOPE_WEIGHT_CHANGE = 1e-6; // too small a change yields no slope

    private final double goalMs;
    private double weight;
    private double delayMs; // exponential moving average over ticks; 0 before the first tick with requests
    private double tickDelaySumMs; // over the requests of the current tick
    private int tickRequestCount;
    private double slope; // decrease of the delay in milliseconds per unit of weight gained; 0 while unknown
    private double previousDelayMs; // at the last measurement of the slope
    private double previousWeight; // at the last measurement of the slope

    ClassWeight(double objectiveMs, double weight) {
        this.goalMs = objectiveMs * GOAL_OBJECTIVE_SHARE;
        this.weight = weight;
    }

    /** Records the queue delay of a request that has left the queue. */
    void recordQueueDelay(double queueDelayMs) {
        tickDelaySumMs += queueDelayMs;
        tickRequestCount++;
    }

    /**
     * Adds the latency of a successful attempt to the delay of its request, which was counted when it left the queue. A
     * latency that is not positive counts as one more request.
     */
    void recordLatency(double latencyMs) {
        tickDelaySumMs += latencyMs;
        if (!(latencyMs > 0)) tickRequestCount++;
    }

    /** Adds the tick's mean delay to the smoothed delay and starts the next tick. */
    void endTick() {
        if (tickRequestCount > 0) {
            double meanMs = tickDelaySumMs / tickRequestCount;
            delayMs = delayMs == 0 ? meanMs : DELAY_RETENTION * delayMs + (1 - DELAY_RETENTION) * meanMs;
        }
        tickDelaySumMs = 0;
        tickRequestCount = 0;
    }

    /**
     * Measures the slope from the changes of weight and delay since the last call. Keeps the previous slope if the
     * weight has hardly changed, or if the delay has not clearly moved in the opposite direction.
     */
    void measureSlope() {
        double weightGain = weight - previousWeight;
        if (previousWeight > 0 && Math.abs(weightGain) > MIN_SLOPE_WEIGHT_CHANGE) {
            double measured = -(delayMs - previousDelayMs) / weightGain;
            if (measured > goalMs * GOAL_TOLERANCE_RATIO) slope = measured;
        }
        previousWeight = weight;
        previousDelayMs = delayMs;
    }

    /** Returns the smoothed delay divided by its goal. */
    double delayRatio() {
        return delayMs / goalMs;
    }

    /** Whether the class needs more weight, because its delay exceeds the goal by more than the tolerance. */
    boolean needsMoreWeight() {
        return delayRatio() >= 1 + GOAL_TOLERANCE_RATIO;
    }

    /** Returns the weight that the class needs in addition so that its delay falls to the goal. */
    double weightDeficit() {
        return slope > 0 ? (delayMs - goalMs) / slope : INITIAL_WEIGHT_STEP;
    }

    /** Returns the weight that the class could lose before its delay reaches the goal, or 0 if it has no surplus. */
    double weightSurplus() {
        if (delayMs > (1 - GOAL_TOLERANCE_RATIO) * goalMs) return 0;
        return (goalMs - delayMs) / (slope > 0 ? slope : goalMs);
    }

    /**
     * Returns the weight that a class with a surplus can lose before its delay reaches the tolerance band around the
     * goal.
     */
    double maxDonation() {
        return slope > 0 ? ((1 - GOAL_TOLERANCE_RATIO) * goalMs - delayMs) / slope : INITIAL_WEIGHT_STEP;
    }

    /** Gives up weight, but keeps the minimum; returns the weight that was given up. */
    double donate(double wanted) {
        double donated = Math.max(0, Math.min(wanted, weight - MIN_WEIGHT));
        weight -= donated;
        return donated;
    }

    /** Adds weight that other classes gave up. */
    void receive(double donated) {
        weight += donated;
    }

    /** Restores the state that the predecessor saved. */
    void restore(double restoredWeight, double restoredDelayMs, double restoredSlope) {
        weight = restoredWeight;
        delayMs = restoredDelayMs;
        slope = restoredSlope;
    }

    /** Returns the share of the dispatched work that the class is entitled to, from {@link #MIN_WEIGHT} to 1. */
    double weight() {
        return weight;
    }

    /** Returns the smoothed delay, or 0 before the first request. */
    double delayMs() {
        return delayMs;
    }

    /** Returns the decrease of the delay in milliseconds per unit of weight gained, or 0 while unknown. */
    double slope() {
        return slope;
    }

    /** Returns the mean delay that the class should not exceed. */
    double goalMs() {
        return goalMs;
    }
}
