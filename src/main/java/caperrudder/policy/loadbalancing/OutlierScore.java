package caperrudder.policy.loadbalancing;

import caperrudder.api.HealthSnapshot;

/**
 * How many times slower than usual an endpoint was last observed to be: 1 is as usual. Failures count as the slowest
 * answers. A penalty that is not confirmed decays, so that a bad endpoint gets a trial by itself.
 */
final class OutlierScore {
    /** Largest latency penalty that is believed. */
    static final double MAX_PENALTY = 12;

    /** From this penalty on an endpoint counts as ejected: others come first, and it adds no capacity. */
    static final double EJECTION_PENALTY = 4;

    private static final double DECAY_MS = 6000; // time constant of the decay towards 1
    private static final double FIRST_FAILURE_GAIN = 0.1; // weight of a first failure: any connection may break

    private double latencyPenalty = 1;
    private double updatedAtMs;
    private int failuresSinceSuccess;

    /** The penalty now, from 0 to {@link #MAX_PENALTY}. */
    double latencyPenalty(double now) {
        return latencyPenalty == 1 ? 1 : 1 + (latencyPenalty - 1) * Math.exp(-(now - updatedAtMs) / DECAY_MS);
    }

    /** Moves the penalty towards an observed one by {@code gain}, from 0 (ignore it) to 1 (replace by it). */
    void record(double observedPenalty, double gain, double now) {
        double current = latencyPenalty(now);
        latencyPenalty = current + gain * (Math.min(MAX_PENALTY, observedPenalty) - current);
        updatedAtMs = now;
    }

    /** One failure may be chance; a further one before a success tells of the endpoint and counts by {@code gain}. */
    void recordFailure(double gain, double now) {
        record(MAX_PENALTY, failuresSinceSuccess > 0 ? gain : FIRST_FAILURE_GAIN, now);
        failuresSinceSuccess++;
    }

    boolean hasFailures() {
        return failuresSinceSuccess > 0;
    }

    /** The next failure counts as a first one again. */
    void clearFailures() {
        failuresSinceSuccess = 0;
    }

    /** Forgets the penalty, since the endpoint has restarted. */
    void clearPenalty() {
        latencyPenalty = 1;
    }

    /** Takes over what another process observed; its clock is this one's. */
    void restore(HealthSnapshot snapshot, double now) {
        latencyPenalty = Math.max(0, Math.min(MAX_PENALTY, snapshot.latencyPenalty()));
        updatedAtMs = Math.min(now, snapshot.updatedAtMs());
        failuresSinceSuccess = snapshot.failuresSinceSuccess();
    }

    /** What the next process is to know; an empty class name stands for all classes. */
    HealthSnapshot takeSnapshot(String hostId, String requestClass) {
        return new HealthSnapshot(hostId, requestClass, latencyPenalty, updatedAtMs, failuresSinceSuccess);
    }
}
