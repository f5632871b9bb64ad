package caperrudder.policy.scheduling;

import java.util.List;

/**
 * Limits the attempts that this gateway has in flight, and counts them. The limit applies per host to the attempts of
 * all gateways together. It adapts like Envoy's adaptive concurrency filter: it shrinks while queueing at the hosts
 * inflates the latency, and grows while the latency is low and all slots are in use (DESIGN: Release). Confined to the
 * policy's thread.
 */
public final class ConcurrencyLimit {
    // Attempts in flight at one host, from all gateways together.
    private static final double INITIAL_ATTEMPTS_PER_HOST = 6;
    private static final double MIN_ATTEMPTS_PER_HOST = 3; // fewer would leave cores of a host idle
    private static final double MAX_ATTEMPTS_PER_HOST = 128; // more do not raise a host's throughput

    private static final double INCREASE_FACTOR = 1.15; // per adaptation, while all slots are in use and latency is low
    private static final double DECREASE_FACTOR = 0.85; // per adaptation, while the latency is inflated
    private static final double ADAPTATION_INTERVAL_MS = 250;
    /** With fewer the adaptation is postponed: on idle hosts, too, one response in five takes twice its time. */
    private static final int MIN_ENDED_ATTEMPTS = 8;

    private static final int MAX_INTERVALS_PER_ADAPTATION = 8; // then a few ended attempts are enough
    private static final double INFLATED_LATENCY_RATIO = 1.7; // of latency to base; above it, requests queue at hosts
    private static final double MAX_HARMLESS_OBJECTIVE_SHARE = 0.1; // a lower mean latency is never congestion
    private static final double MAX_UNCONGESTED_OBJECTIVE_SHARE = 0.5; // a higher mean latency is always congestion
    private static final double BURST_SLOT_FACTOR = 0.7; // extra slots per square root of a gateway's even share

    private final int gatewayCount;
    private final List<TrafficClass> classes;
    private double limitPerHost = INITIAL_ATTEMPTS_PER_HOST;
    private int inUse;
    private boolean saturated; // whether no slot was free since the flag was last cleared
    private double adaptedAt;

    // Statistics of the current interval.
    private int responseCount;
    private int timeoutCount;
    private double latencySumMs;
    private double baseLatencySumMs;
    private double objectiveShareSum; // of each latency divided by the objective of its class

    /**
     * Starts the first interval at {@code now}, in milliseconds of the policy's clock.
     *
     * @param gatewayCount number of gateways that share the hosts, 1 or more
     * @param classes traffic classes whose base latencies are updated at the end of each interval
     */
    public ConcurrencyLimit(double now, int gatewayCount, List<TrafficClass> classes) {
        this.gatewayCount = gatewayCount;
        this.classes = classes;
        this.adaptedAt = now;
    }

    /**
     * Returns the number of this gateway's slots: its even share of the slots of all hosts, and some more for random
     * bursts; 1 or more.
     *
     * @param capacity of the hosts in use, as a number of healthy hosts that are not in slow start
     */
    public double slots(double capacity) {
        double evenShare = limitPerHost * Math.max(1, capacity) / gatewayCount;
        return Math.max(1, evenShare + BURST_SLOT_FACTOR * Math.sqrt(evenShare) * (1 - 1.0 / gatewayCount));
    }

    /** Returns the number of attempts in flight. */
    public int inUse() {
        return inUse;
    }

    /** Takes a slot for an attempt, even if all are in use. */
    public void acquire() {
        inUse++;
    }

    /** Releases a slot that was acquired. */
    public void release() {
        inUse--;
    }

    /** Records that no slot was free for a dispatch. */
    void recordSaturation() {
        saturated = true;
    }

    /** Whether {@link #recordSaturation} was called since the last call of this method; resets the flag. */
    boolean getAndClearSaturated() {
        boolean wasSaturated = saturated;
        saturated = false;
        return wasSaturated;
    }

    /**
     * Records a successful attempt.
     *
     * @param latencyMs time that the attempt took
     * @param baseMs time that it would have taken on hosts without queues
     * @param objectiveMs latency objective of its class
     */
    public void recordResponse(double latencyMs, double baseMs, double objectiveMs) {
        latencySumMs += latencyMs;
        baseLatencySumMs += baseMs;
        objectiveShareSum += latencyMs / objectiveMs;
        responseCount++;
    }

    /** Records an attempt that timed out. */
    public void recordTimeout() {
        timeoutCount++;
    }

    /** Adapts the limit if the current interval has ended; must be called on each timer tick. */
    public void adapt(double now) {
        if (now - adaptedAt < ADAPTATION_INTERVAL_MS) return;
        // A few responses are not representative: even on idle hosts one in five takes twice the expected time.
        int ended = responseCount + timeoutCount;
        if (ended > 0
                && ended < MIN_ENDED_ATTEMPTS
                && now - adaptedAt < MAX_INTERVALS_PER_ADAPTATION * ADAPTATION_INTERVAL_MS) return;
        adaptedAt = now;
        if (ended > 0) {
            if (isCongested()) limitPerHost = Math.max(MIN_ATTEMPTS_PER_HOST, limitPerHost * DECREASE_FACTOR);
            else if (saturated) limitPerHost = Math.min(MAX_ATTEMPTS_PER_HOST, limitPerHost * INCREASE_FACTOR);
        }
        beginInterval();
    }

    /**
     * Whether requests queue at the hosts. Timeouts show this only if they outnumber the responses, because the network
     * may lose a few attempts at any time.
     */
    private boolean isCongested() {
        return (latencySumMs > INFLATED_LATENCY_RATIO * baseLatencySumMs
                        && objectiveShareSum > MAX_HARMLESS_OBJECTIVE_SHARE * responseCount)
                || objectiveShareSum > MAX_UNCONGESTED_OBJECTIVE_SHARE * responseCount
                || timeoutCount > responseCount;
    }

    private void beginInterval() {
        latencySumMs = 0;
        baseLatencySumMs = 0;
        objectiveShareSum = 0;
        responseCount = 0;
        timeoutCount = 0;
        for (TrafficClass trafficClass : classes) {
            trafficClass.latencyEstimate().updateBase();
        }
    }

    /** Returns the limit of attempts in flight at one host from all gateways together, for the snapshot. */
    public double limitPerHost() {
        return limitPerHost;
    }

    /** Restores the limit per host from a snapshot, clamped to its bounds. */
    public void restore(double restoredLimitPerHost) {
        limitPerHost = Math.max(MIN_ATTEMPTS_PER_HOST, Math.min(MAX_ATTEMPTS_PER_HOST, restoredLimitPerHost));
    }
}
