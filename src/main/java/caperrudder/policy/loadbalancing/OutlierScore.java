package caperrudder.policy.loadbalancing;

import caperrudder.api.HealthSnapshot;

/**
 * A moving average of an endpoint's observed latency penalties. The latency penalty is the ratio of actual to expected
 * latency; a failure counts as the maximum. Without observations the average decays towards 1, so that an ejected
 * endpoint gets requests again.
 */
final class OutlierScore {
    /** The maximum latency penalty; higher observations count as this. */
    static final double MAX_PENALTY = 12;

    /** The latency penalty from which an endpoint is ejected: others are preferred, and it adds no capacity. */
    static final double EJECTION_PENALTY = 4;

    private static final double DECAY_TIME_CONSTANT_MS = 6000;
    private static final double FIRST_FAILURE_GAIN = 0.1; // weight of a failure that may be chance

    private double latencyPenalty = 1;
    private double updatedAtMs;
    private int consecutiveFailures;

    /** Returns the penalty at {@code now}, from 0 to {@link #MAX_PENALTY}. */
    double latencyPenalty(double now) {
        return latencyPenalty == 1
                ? 1
                : 1 + (latencyPenalty - 1) * StrictMath.exp(-(now - updatedAtMs) / DECAY_TIME_CONSTANT_MS);
    }

    /** Records an observed penalty. {@code gain} is its weight, from 0 (none) to 1 (replaces the penalty). */
    void record(double observedPenalty, double gain, double now) {
        double current = latencyPenalty(now);
        latencyPenalty = current + gain * (Math.min(MAX_PENALTY, observedPenalty) - current);
        updatedAtMs = now;
    }

    /** Records a failure. The first one since a success gets a low weight; the following ones get {@code gain}. */
    void recordFailure(double gain, double now) {
        record(MAX_PENALTY, consecutiveFailures > 0 ? gain : FIRST_FAILURE_GAIN, now);
        consecutiveFailures++;
    }

    /** Returns whether there were failures since the last {@link #clearFailures}. */
    boolean hasFailures() {
        return consecutiveFailures > 0;
    }

    /** Makes the next failure count as the first one again. */
    void clearFailures() {
        consecutiveFailures = 0;
    }

    /** Resets the penalty to 1; keeps the count of failures. */
    void clearPenalty() {
        latencyPenalty = 1;
    }

    /** Restores the score of a predecessor that used the same clock. Limits it to valid values. */
    void restore(HealthSnapshot snapshot, double now) {
        latencyPenalty = Math.max(0, Math.min(MAX_PENALTY, snapshot.latencyPenalty()));
        updatedAtMs = Math.min(now, snapshot.updatedAtMs());
        consecutiveFailures = snapshot.consecutiveFailures();
    }

    /** Returns the score for a successor; {@code requestClass} is empty for the score of all classes. */
    HealthSnapshot toSnapshot(String hostId, String requestClass) {
        return new HealthSnapshot(hostId, requestClass, latencyPenalty, updatedAtMs, consecutiveFailures);
    }
}
