package caperrudder.policy.scheduling;

/**
 * Estimates the latency of the attempts of one traffic class per quota unit of the request: as a moving average of
 * recent attempts, and as the base latency on hosts without queues. Times are in milliseconds. Confined to the policy's
 * thread.
 */
public final class LatencyEstimate {
    private static final double INITIAL_OBJECTIVE_SHARE = 0.2; // initial latency of the largest request
    private static final double MIN_UNITS = 0.1; // smaller requests are assumed to take as long as one of this size
    private static final double MIN_SAMPLE_GAIN = 0.03; // minimum weight of a sample in the moving average
    private static final int MIN_BASE_SAMPLES = 20; // with fewer the base equals the moving average
    private static final double BASE_GROWTH_FACTOR = 1.002; // per interval, to adapt to a lasting increase

    private double perUnitMs;
    private double basePerUnitMs;
    private int sampleCount;

    private LatencyEstimate(double perUnitMs) {
        this.perUnitMs = perUnitMs;
        this.basePerUnitMs = perUnitMs;
    }

    /**
     * Returns the estimate before the first sample.
     *
     * @param objectiveMs latency objective of the class
     * @param maxUnits quota units of the largest request that the settings allow
     */
    public static LatencyEstimate initial(double objectiveMs, double maxUnits) {
        return new LatencyEstimate(objectiveMs * INITIAL_OBJECTIVE_SHARE / maxUnits);
    }

    /** Returns the expected latency of an attempt for a request of this size, from recent attempts. */
    public double expectedMs(double units) {
        return perUnitMs * Math.max(units, MIN_UNITS);
    }

    /** Returns the latency of an attempt for a request of this size on hosts without queues. */
    public double baseMs(double units) {
        return basePerUnitMs * units;
    }

    /** Adds the latency of a successful attempt. */
    public void addSample(double latencyMs, double units) {
        double sampleMs = latencyMs / Math.max(MIN_UNITS, units);
        sampleCount++;
        perUnitMs += Math.max(MIN_SAMPLE_GAIN, 1.0 / sampleCount) * (sampleMs - perUnitMs);
    }

    /**
     * Updates the base at the end of an interval of the concurrency limit. The base follows lower latencies at once and
     * higher ones slowly.
     */
    void updateBase() {
        double maxBaseMs = sampleCount < MIN_BASE_SAMPLES ? perUnitMs : basePerUnitMs * BASE_GROWTH_FACTOR;
        basePerUnitMs = Math.min(maxBaseMs, perUnitMs);
    }

    /** Restores the state that the predecessor saved. */
    void restore(double restoredPerUnitMs, double restoredBasePerUnitMs, int restoredSampleCount) {
        perUnitMs = restoredPerUnitMs;
        basePerUnitMs = restoredBasePerUnitMs;
        sampleCount = restoredSampleCount;
    }

    /** Returns the moving average of the latency per quota unit. */
    double perUnitMs() {
        return perUnitMs;
    }

    /** Returns the latency per quota unit on hosts without queues. */
    double basePerUnitMs() {
        return basePerUnitMs;
    }

    /** Returns the number of successful attempts that were added, including those of the predecessor. */
    public int sampleCount() {
        return sampleCount;
    }
}
