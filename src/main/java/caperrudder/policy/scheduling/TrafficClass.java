package caperrudder.policy.scheduling;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.RequestClass;

/**
 * A request class of the settings with all that this gateway has learned of it: latency, response times, and the
 * scheduling weight with its delay. Confined to the policy's thread.
 */
public final class TrafficClass {
    private final RequestClass spec;
    private final LatencyEstimate latency;
    private final ResponseTimeHistogram responseTimes = new ResponseTimeHistogram();
    private final ClassWeight weight;

    /**
     * A class of which nothing has been learned yet.
     *
     * @param initialWeight its share of all classes' priority weights, over 0 and at most 1
     * @param maxUnits quota units of the largest request that the settings allow
     */
    public TrafficClass(RequestClass spec, double initialWeight, double maxUnits) {
        this.spec = spec;
        this.latency = LatencyEstimate.initial(spec.latencyObjectiveMs(), maxUnits);
        this.weight = new ClassWeight(spec.latencyObjectiveMs(), initialWeight);
    }

    /** The class as the settings describe it. */
    public RequestClass spec() {
        return spec;
    }

    public String name() {
        return spec.name();
    }

    /** Latency of its attempts by size. */
    public LatencyEstimate latency() {
        return latency;
    }

    ClassWeight weight() {
        return weight;
    }

    /** Counts a request that left the queue, dispatched for the first time or expired, after so long. */
    public void noteHold(double holdMs) {
        weight.noteHold(holdMs);
    }

    /**
     * Learns from a served request.
     *
     * @param latencyMs time of the attempt that served it
     * @param responseTimeMs time since its arrival
     * @param units its size in quota units
     */
    public void noteServed(double latencyMs, double responseTimeMs, double units) {
        latency.add(latencyMs, units);
        weight.noteLatency(latencyMs);
        responseTimes.add(responseTimeMs / Math.max(1, latency.expectedMs(units)));
    }

    /** The share, from 0 to 1, of requests of this expected time that are answered within the latency objective. */
    public double shareWithinObjective(double expectedMs) {
        return responseTimes.shareWithin(spec.latencyObjectiveMs() / Math.max(1, expectedMs));
    }

    /** What the gateway's next process is to know of the class. */
    public ClassSnapshot snapshot() {
        return new ClassSnapshot(
                spec.name(),
                weight.weight(),
                latency.perUnitMs(),
                latency.basePerUnitMs(),
                latency.samples(),
                weight.delayMs(),
                weight.slope());
    }

    /** Takes over what the process before had learned. */
    void restore(ClassSnapshot snapshot) {
        weight.restore(snapshot.weight(), snapshot.delay(), snapshot.slope());
        latency.restore(snapshot.latencyPerUnit(), snapshot.baseLatencyPerUnit(), snapshot.samples());
    }
}
