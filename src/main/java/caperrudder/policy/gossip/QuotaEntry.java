package caperrudder.policy.gossip;

/** An entry of a {@link QuotaMessage}, about one customer's quota. */
public sealed interface QuotaEntry permits ReplicaReport, OwnerReply {
    /** Returns the customer's number, at most 40 bits. */
    long customer();

    /** Returns the index of the customer's plan in the settings, 0 to 255. */
    int planNumber();
}
