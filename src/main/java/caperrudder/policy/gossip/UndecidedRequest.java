package caperrudder.policy.gossip;

/** A request that awaits an owner's decision on its customer's quota. */
public interface UndecidedRequest {
    /** Returns the units of the quota that the request uses. */
    double units();

    /**
     * Returns the time in milliseconds by which the request must be decided. It changes when the last byte of the
     * request arrives.
     */
    double decisionDueAtMs();

    /** Returns whether the request was already admitted or has ended, so that it needs no decision. */
    boolean isDecided();

    /** Handles the decision; ignores it if the request needs none any more. */
    void onDecision(double now, boolean admitted);
}
