package caperrudder.policy.scheduling;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.RequestClass;

/**
 * A request class of the settings with the statistics that this gateway keeps of it: the latency of attempts, response
 * times, and the scheduling weight with the delay it depends on. Confined to the policy's thread.
 */
public final class TrafficClass {
    private static final double MIN_EXPECTED_MS = 1; // bounds multiples of a very small expected latency

    private final RequestClass requestClass;
    private final LatencyEstimate latencyEstimate;
    private final ResponseTimeHistogram responseTimes = new ResponseTimeHistogram();
    private final ClassWeight schedulingWeight;

    /**
     * Creates a class without statistics.
     *
     * @param initialWeight the class's share of the sum of all priority weights, over 0 and at most 1
     * @param maxUnits quota units of the largest request that the settings allow
     */
    public TrafficClass(RequestClass requestClass, double initialWeight, double maxUnits) {
        this.requestClass = requestClass;
        this.latencyEstimate = LatencyEstimate.initial(requestClass.latencyObjectiveMs(), maxUnits);
        this.schedulingWeight = new ClassWeight(requestClass.latencyObjectiveMs(), initialWeight);
    }

    /** Returns the class as configured in the settings. */
    public RequestClass requestClass() {
        return requestClass;
    }

    public String name() {
        return requestClass.name();
    }

    /** Returns the latency estimate of the class's attempts. */
    public LatencyEstimate latencyEstimate() {
        return latencyEstimate;
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
        latencyEstimate.addSample(latencyMs, units);
        schedulingWeight.recordLatency(latencyMs);
        responseTimes.addSample(responseTimeMs / Math.max(MIN_EXPECTED_MS, latencyEstimate.expectedMs(units)));
    }

    /**
     * Returns the share, from 0 to 1, of requests that are answered within the latency objective.
     *
     * @param expectedMs expected latency of the requests, which depends on their size
     */
    public double shareWithinObjective(double expectedMs) {
        return responseTimes.shareWithin(requestClass.latencyObjectiveMs() / Math.max(MIN_EXPECTED_MS, expectedMs));
    }

    /** Returns the statistics of the class for the successor. */
    public ClassSnapshot snapshot() {
        return new ClassSnapshot(
                requestClass.name(),
                schedulingWeight.weight(),
                latencyEstimate.perUnitMs(),
                latencyEstimate.basePerUnitMs(),
                latencyEstimate.sampleCount(),
                schedulingWeight.delayMs(),
                schedulingWeight.slope());
    }

    /** Restores the statistics that the predecessor saved. */
    void restore(ClassSnapshot snapshot) {
        schedulingWeight.restore(snapshot.weight(), snapshot.delayMs(), snapshot.delaySlopeMs());
        latencyEstimate.restore(
                snapshot.latencyPerUnitMs(), snapshot.baseLatencyPerUnitMs(), snapshot.latencySampleCount());
    }
}
