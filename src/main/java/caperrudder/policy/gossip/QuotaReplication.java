package caperrudder.policy.gossip;

import caperrudder.api.Settings;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaExhaustionListener;
import caperrudder.policy.quota.UsageSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Reports changes of quotas at this gateway to the quotas' owners, and holds the replication state of each quota.
 *
 * <p>Not thread-safe.
 */
final class QuotaReplication implements QuotaExhaustionListener {
    private static final double SYNC_INTERVAL_MS = 300; // minimum time between reports that are not urgent

    private final boolean isPeerGossipEnabled;
    private final PeerTable peers;
    private final QuotaOwnership ownership;
    private final GossipOutbox outbox;
    private final Map<CustomerQuota, ReplicatedQuota> replicatedQuotas = new HashMap<>();

    QuotaReplication(Settings settings, QuotaOwnership ownership, GossipOutbox outbox) {
        this.isPeerGossipEnabled = UsageSource.of(settings) == UsageSource.PEERS;
        this.peers = ownership.peers();
        this.ownership = ownership;
        this.outbox = outbox;
    }

    /** Returns the replication state of a quota, which is created on first use. */
    ReplicatedQuota stateOf(CustomerQuota quota) {
        return replicatedQuotas.computeIfAbsent(quota, ReplicatedQuota::new);
    }

    /**
     * Removes the replication state of a quota, unless decisions on it are pending.
     *
     * @return false if decisions are pending, so that the state is kept
     */
    boolean removeIfIdle(CustomerQuota quota) {
        ReplicatedQuota replicated = replicatedQuotas.get(quota);
        if (replicated != null && replicated.hasPending()) return false;
        replicatedQuotas.remove(quota);
        return true;
    }

    /**
     * Reports a change of a quota: immediately to the owner that decides on it, or at intervals to the other owners if
     * this gateway decides.
     */
    void reportChange(double now, CustomerQuota quota) {
        if (!isReplicated(quota)) return;
        ReplicatedQuota replicated = stateOf(quota);
        int owner = ownership.decidingOwner(now, quota, 0);
        if (owner != peers.ownNumber()) {
            replicated.recordReport(now);
            if (owner != QuotaOwnership.NO_OWNER) outbox.queueReport(peers.get(owner), replicated);
        } else if (isSyncDue(now, replicated)) {
            replicated.recordReport(now);
            reportToOtherOwners(replicated);
        }
    }

    private boolean isReplicated(CustomerQuota quota) {
        return isPeerGossipEnabled && quota.replicaCount() > 1;
    }

    /** Returns whether enough time has passed since the last report for one that is not urgent. */
    private static boolean isSyncDue(double now, ReplicatedQuota replicated) {
        return replicated.timeSinceReportMs(now) > SYNC_INTERVAL_MS;
    }

    private void reportToOtherOwners(ReplicatedQuota replicated) {
        CustomerQuota quota = replicated.quota();
        for (int rank = 0; rank < quota.ownerCount(); rank++) {
            int owner = quota.owner(rank);
            if (owner != peers.ownNumber()) outbox.queueReport(peers.get(owner), replicated);
        }
    }

    /** Reports demand that exceeded the quota, at intervals rather than for each rejected request. */
    @Override
    public void quotaExhausted(double now, CustomerQuota quota) {
        if (isReplicated(quota) && isSyncDue(now, stateOf(quota))) reportChange(now, quota);
    }
}
