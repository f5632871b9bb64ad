package caperrudder.policy.scheduling;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.RequestClass;

/**
 * A request class of the settings with the statistics that this gateway keeps of it: the latency of attempts, response
 * times, and the scheduling weight with the delay it depends on. Confined to the policy's thread.
 */
public final class TrafficClass {
    private static final double MIN_EXPECTED_MS = 1; // bounds multiples of a very small expected latency

    private final RequestClass spec;
    private final LatencyEstimate latency;
    private final ResponseTimeHistogram responseTimes = new ResponseTimeHistogram();
    private final ClassWeight schedulingWeight;

    /**
     * Creates a class without statistics.
     *
     * @param initialWeight the class's share of the sum of all priority weights, over 0 and at most 1
     * @param maxUnits quota units of the largest request that the settings allow
     */
    public TrafficClass(RequestClass spec, double initialWeight, double maxUnits) {
        this.spec = spec;
        this.latency = LatencyEstimate.initial(spec.latencyObjectiveMs(), maxUnits);
        this.schedulingWeight = new ClassWeight(spec.latencyObjectiveMs(), initialWeight);
    }

    /** Returns the class as configured in the settings. */
    public RequestClass spec() {
        return spec;
    }

    public String name() {
        return spec.name();
    }

    /** Returns the latency estimate of the class's attempts. */
    public LatencyEstimate latency() {
        return latency;
    }

    ClassWeight schedulingWeight() {
        return schedulingWeight;
    }

    /** Records the queue delay of a request that was dispatched for the first time or has expired. */
    public void recordQueueDelay(double queueDelayMs) {
        schedulingWeight.recordQueueDelay(queueDelayMs);
    }

    /**
     * Records a served request.
     *
     * @param latencyMs latency of the attempt that served it
     * @param responseTimeMs time since its arrival
     * @param units its size in quota units
     */
    public void recordServedRequest(double latencyMs, double responseTimeMs, double units) {
        latency.addSample(latencyMs, units);
        schedulingWeight.recordLatency(latencyMs);
        responseTimes.addSample(responseTimeMs / Math.max(MIN_EXPECTED_MS, latency.expectedMs(units)));
    }

    /**
     * Returns the share, from 0 to 1, of requests that are answered within the latency objective.
     *
     * @param expectedMs expected latency of the requests, which depends on their size
     */
    public double shareWithinObjective(double expectedMs) {
        return responseTimes.shareWithin(spec.latencyObjectiveMs() / Math.max(MIN_EXPECTED_MS, expectedMs));
    }

    /** Returns the statistics of the class for the successor. */
    public ClassSnapshot snapshot() {
        return new ClassSnapshot(
                spec.name(),
                schedulingWeight.weight(),
                latency.perUnitMs(),
                latency.basePerUnitMs(),
                latency.samples(),
                schedulingWeight.delayMs(),
                schedulingWeight.slope());
    }

    /** Restores the statistics that the predecessor saved. */
    void restore(ClassSnapshot snapshot) {
        schedulingWeight.restore(snapshot.weight(), snapshot.delayMs(), snapshot.delaySlopeMs());
        latency.restore(snapshot.latencyPerUnitMs(), snapshot.baseLatencyPerUnitMs(), snapshot.latencySampleCount());
    }
}
