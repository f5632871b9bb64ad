package caperrudder.policy.quota;

/** Computes this gateway's share of each customer's demand, which is the share of the quota it may admit by itself. */
final class DemandShares {
    /** Demand added to that of a replica set, relative to the plan's rate, so that no gateway's share is 0. */
    private static final double EVEN_PRIOR_RATIO = 0.05;
    /** Older replies of an owner are ignored, and the share is the even one. */
    private static final double MAX_REPLY_AGE_MS = 3000;

    private final UsageSource source;
    private final OwnerLocator owners;

    DemandShares(UsageSource source, OwnerLocator owners) {
        this.source = source;
        this.owners = owners;
    }

    /**
     * Returns this gateway's share, between 0 and 1. The shares that gateways compute from replies of one owner sum to
     * one over the replica set.
     */
    double of(double now, CustomerQuota quota) {
        int replicaCount = quota.replicaCount();
        if (replicaCount == 1) return 1;
        if (source != UsageSource.PEERS) return quota.meter().share(now);
        if (quota.ownerReplyAgeMs(now) > MAX_REPLY_AGE_MS && !owners.decidesLocally(now, quota)) {
            return 1.0 / replicaCount;
        }
        DemandEstimate demand = quota.demand();
        double prior = EVEN_PRIOR_RATIO * quota.plan().unitsPerSecond();
        return (demand.ownPerSecond() + prior / replicaCount)
                / (demand.ownPerSecond() + demand.peersPerSecond() + prior);
    }
}
