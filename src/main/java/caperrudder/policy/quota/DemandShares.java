package caperrudder.policy.quota;

/** This gateway's share of each customer's demand: the part of the quota that it may admit by itself. */
final class DemandShares {
    /** Of the rate, added to a replica set's demand, so that each gateway of it has a share. */
    private static final double EVEN_PRIOR = 0.05;
    /** From this age of an owner's reply on the share is the even one. */
    private static final double REPLY_KEPT_MS = 3000;

    private final UsageSource source;
    private final OwnerLocator owners;

    DemandShares(UsageSource source, OwnerLocator owners) {
        this.source = source;
        this.owners = owners;
    }

    /** Between 0 and 1; the shares by one owner's replies sum to one over the replica set. */
    double of(double now, CustomerQuota quota) {
        int replicaCount = quota.replicaCount();
        if (replicaCount == 1) return 1;
        if (source != UsageSource.PEERS) return quota.meter().share(now);
        if (quota.ownerReplyAgeMs(now) > REPLY_KEPT_MS && !owners.decidesLocally(now, quota)) return 1.0 / replicaCount;
        DemandEstimate demand = quota.demand();
        double prior = EVEN_PRIOR * quota.plan().unitsPerSecond();
        return (demand.own() + prior / replicaCount) / (demand.own() + demand.others() + prior);
    }
}
