package caperrudder.policy.gossip;

/** What a {@link QuotaMessage} says of one customer. */
public sealed interface QuotaEntry permits ReplicaReport, OwnerReply {
    /** The customer's number, of at most 40 bits. */
    long customer();

    /** Index of the customer's plan in the settings, 0 to 255. */
    int planNumber();
}
