package caperrudder.policy.scheduling;

import java.util.List;

/**
 * How many attempts of this gateway may be in flight, and how many are. The limit is kept for each host, for all
 * gateways together, and adapts as Envoy's adaptive concurrency does: it shrinks while latency is stretched over its
 * base and grows while requests wait on fast hosts (DESIGN: Release). Confined to the policy's thread.
 */
public final class ConcurrencyLimit {
    // Attempts in flight at one host, from all gateways together.
    private static final double INITIAL_PER_HOST = 6;
    private static final double MIN_PER_HOST = 3; // with fewer, cores would idle
    private static final double MAX_PER_HOST = 128; // beyond this no host gains
    private static final double INCREASE = 1.15; // factor an interval, while requests wait on fast hosts
    private static final double DECREASE = 0.85; // factor an interval, while latency is stretched
    private static final double INTERVAL_MS = 250; // how often the limit moves
    private static final int MIN_SAMPLES = 8; // ended attempts to move it by, or as many intervals
    private static final double STRETCHED = 1.7; // latency over its base that counts as queueing at the hosts
    private static final double HARMLESS_OBJECTIVE_SHARE = 0.1; // of the objective: latency below does no harm
    private static final double QUEUEING_OBJECTIVE_SHARE = 0.5; // mean share of the objective that is queueing for sure
    private static final double BURST_SLOTS = 0.7; // slots beyond the even ones, in square roots of them: for bursts

    private final int gatewayCount;
    private final List<TrafficClass> classes;
    private double perHost = INITIAL_PER_HOST;
    private int inUse;
    private boolean saturated; // since last taken
    private double adaptedAt;
    // Of the current interval:
    private int responses;
    private int timeouts;
    private double latencySumMs;
    private double baseSumMs;
    private double objectiveShareSum;

    /**
     * Starts at {@code now}, in milliseconds of the policy's clock.
     *
     * @param gatewayCount gateways that share the hosts, 1 or more
     * @param classes those whose base latencies move with the limit's intervals
     */
    public ConcurrencyLimit(double now, int gatewayCount, List<TrafficClass> classes) {
        this.gatewayCount = gatewayCount;
        this.classes = classes;
        this.adaptedAt = now;
    }

    /**
     * This gateway's slots: its even part of what all hosts take, and some for bursts by chance; 1 or more.
     *
     * @param capacity of the hosts in use, in hosts that are warm and healthy
     */
    public double slots(double capacity) {
        double even = perHost * Math.max(1, capacity) / gatewayCount;
        return Math.max(1, even + BURST_SLOTS * Math.sqrt(even) * (1 - 1.0 / gatewayCount));
    }

    /** Attempts in flight now. */
    public int inUse() {
        return inUse;
    }

    /** Takes a slot for an attempt, also where all are in use. */
    public void acquire() {
        inUse++;
    }

    /** Gives back a slot that was acquired. */
    public void release() {
        inUse--;
    }

    /** Notes that no slot was left for dispatching. */
    void noteSaturated() {
        saturated = true;
    }

    /** Whether no slot was left at any time since the last call. */
    boolean takeSaturated() {
        boolean taken = saturated;
        saturated = false;
        return taken;
    }

    /** Counts a successful attempt: its latency, that of its base, and the latency objective of its class. */
    public void noteResponse(double latencyMs, double baseMs, double objectiveMs) {
        latencySumMs += latencyMs;
        baseSumMs += baseMs;
        objectiveShareSum += latencyMs / objectiveMs;
        responses++;
    }

    /** Counts an attempt that timed out. */
    public void noteTimeout() {
        timeouts++;
    }

    /** Moves the limit where the time for it has come; to be called at each timer tick. */
    public void adapt(double now) {
        if (now - adaptedAt < INTERVAL_MS) return;
        // Few answers say nothing of the hosts: one in five takes twice its time on idle ones.
        int ended = responses + timeouts;
        if (ended > 0 && ended < MIN_SAMPLES && now - adaptedAt < MIN_SAMPLES * INTERVAL_MS) return;
        adaptedAt = now;
        if (ended > 0) {
            if (isCongested()) perHost = Math.max(MIN_PER_HOST, perHost * DECREASE);
            else if (saturated) perHost = Math.min(MAX_PER_HOST, perHost * INCREASE);
        }
        beginInterval();
    }

    /** A few attempts that the network swallowed say nothing of queues at the hosts, however long they took. */
    private boolean isCongested() {
        return (latencySumMs > STRETCHED * baseSumMs && objectiveShareSum > HARMLESS_OBJECTIVE_SHARE * responses)
                || objectiveShareSum > QUEUEING_OBJECTIVE_SHARE * responses
                || timeouts > responses;
    }

    private void beginInterval() {
        latencySumMs = 0;
        baseSumMs = 0;
        objectiveShareSum = 0;
        responses = 0;
        timeouts = 0;
        for (TrafficClass trafficClass : classes) {
            trafficClass.latency().updateBase();
        }
    }

    /** Attempts in flight that one host takes from all gateways together, for the snapshot. */
    public double perHost() {
        return perHost;
    }

    /** Takes over the limit for each host from a snapshot, within its bounds. */
    public void restore(double restoredPerHost) {
        perHost = Math.max(MIN_PER_HOST, Math.min(MAX_PER_HOST, restoredPerHost));
    }
}
