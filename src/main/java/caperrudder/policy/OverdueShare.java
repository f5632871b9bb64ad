package caperrudder.policy;

/** The share of the requests let in lately that were answered after their aim, or given up before they were sent. */
final class OverdueShare {
    private static final double GAIN = 0.02; // weight of one request

    private double share;

    void note(boolean late) {
        share += GAIN * ((late ? 1 : 0) - share);
    }

    double share() {
        return share;
    }
}
