package caperrudder.policy.scheduling;

/**
 * The share of admitted requests that were answered after their latency objective, or ended without being served: an
 * exponential moving average over the requests of all classes. Confined to the policy's thread.
 */
public final class LateRequestShare {
    private static final double SAMPLE_GAIN = 0.02; // weight of one request in the moving average

    private double share;

    /** Records an admitted request that has been answered or has expired. */
    public void record(boolean late) {
        share += SAMPLE_GAIN * ((late ? 1 : 0) - share);
    }

    /** Returns the share, from 0 to 1; 0 before the first request. */
    public double share() {
        return share;
    }
}
