package caperrudder.policy.scheduling;

/**
 * How long attempts of one traffic class take for each quota unit of their request: a moving average, and the base that
 * it has on hosts without queues. Times are milliseconds. Confined to the policy's thread.
 */
public final class LatencyEstimate {
    private static final double INITIAL_OBJECTIVE_SHARE =
            0.2; // of the objective: the largest request, before any answer
    private static final double MIN_UNITS = 0.1; // smaller requests are taken to cost as much as one of this size
    private static final double MIN_GAIN = 0.03; // least weight of one sample in the moving average
    private static final int BASE_SAMPLES = 20; // samples before the base is held
    private static final double BASE_DRIFT =
            1.002; // growth of the base an interval, so that a lasting change is accepted

    private double perUnitMs;
    private double basePerUnitMs;
    private int samples;

    private LatencyEstimate(double perUnitMs) {
        this.perUnitMs = perUnitMs;
        this.basePerUnitMs = perUnitMs;
    }

    /**
     * The estimate before the first sample.
     *
     * @param objectiveMs latency objective of the class
     * @param maxUnits quota units of the largest request that the settings allow
     */
    public static LatencyEstimate initial(double objectiveMs, double maxUnits) {
        return new LatencyEstimate(objectiveMs * INITIAL_OBJECTIVE_SHARE / maxUnits);
    }

    /** Time that requests of this many units have been taking. */
    public double expectedMs(double units) {
        return perUnitMs * Math.max(units, MIN_UNITS);
    }

    /** Time that a request of this many units takes on hosts without queues. */
    public double baseMs(double units) {
        return basePerUnitMs * units;
    }

    /** Learns from a successful attempt. */
    public void add(double latencyMs, double units) {
        double sampleMs = latencyMs / Math.max(MIN_UNITS, units);
        samples++;
        perUnitMs += Math.max(MIN_GAIN, 1.0 / samples) * (sampleMs - perUnitMs);
    }

    /** Ends an interval of the concurrency limit: the base follows lower latencies at once and higher ones slowly. */
    void updateBase() {
        double drifted = samples < BASE_SAMPLES ? perUnitMs : basePerUnitMs * BASE_DRIFT;
        basePerUnitMs = Math.min(drifted, perUnitMs);
    }

    /** Takes over what another process had learned. */
    void restore(double restoredPerUnitMs, double restoredBasePerUnitMs, int restoredSamples) {
        perUnitMs = restoredPerUnitMs;
        basePerUnitMs = restoredBasePerUnitMs;
        samples = restoredSamples;
    }

    double perUnitMs() {
        return perUnitMs;
    }

    double basePerUnitMs() {
        return basePerUnitMs;
    }

    /** Successful attempts learned from, 0 or more, those of the process before included. */
    public int samples() {
        return samples;
    }
}
