package caperrudder.policy.scheduling;

/**
 * The share of recently admitted requests that were answered after their latency objective or expired before they were
 * served: an exponential moving average over requests of all classes. Confined to the policy's thread.
 */
public final class OverdueShare {
    private static final double GAIN = 0.02; // weight of one request

    private double share;

    /** Counts one admitted request that has come to its end. */
    public void note(boolean overdue) {
        share += GAIN * ((overdue ? 1 : 0) - share);
    }

    /** From 0 to 1; 0 before the first request. */
    public double share() {
        return share;
    }
}
