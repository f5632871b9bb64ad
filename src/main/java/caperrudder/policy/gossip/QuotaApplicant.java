package caperrudder.policy.gossip;

/** A request that may be held for an owner's decision on its customer's quota. */
public interface QuotaApplicant {
    /** Units of the quota that the request uses. */
    double units();

    /** Time in milliseconds by which it must be decided; moves when a request's last byte arrives. */
    double decisionDueAt();

    /** Whether it was admitted or has ended meanwhile, so that no decision is awaited. */
    boolean isSettled();

    /** The decision; called once at most. */
    void decided(double now, boolean admitted);
}
