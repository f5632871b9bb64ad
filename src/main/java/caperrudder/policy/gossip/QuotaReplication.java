package caperrudder.policy.gossip;

import caperrudder.api.Settings;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.RejectionListener;
import caperrudder.policy.quota.UsageSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the owners of quotas informed of what changes here, and what gossip keeps beside each quota.
 *
 * <p>Not thread-safe.
 */
final class QuotaReplication implements RejectionListener {
    private static final double SYNC_MS = 300; // how often an owner informs the other owner of a customer

    private final boolean peersInformed;
    private final PeerTable peers;
    private final QuotaOwnership ownership;
    private final GossipOutbox outbox;
    private final Map<CustomerQuota, ReplicatedQuota> replicated = new HashMap<>(); // only of those ever replicated

    QuotaReplication(Settings settings, QuotaOwnership ownership, GossipOutbox outbox) {
        this.peersInformed = UsageSource.of(settings) == UsageSource.PEERS;
        this.peers = ownership.peers();
        this.ownership = ownership;
        this.outbox = outbox;
    }

    ReplicatedQuota of(CustomerQuota quota) {
        return replicated.computeIfAbsent(quota, ReplicatedQuota::new);
    }

    /** Drops what is kept beside a quota; false where requests are held for it. */
    boolean release(CustomerQuota quota) {
        ReplicatedQuota kept = replicated.get(quota);
        if (kept != null && kept.holdsRequests()) return false;
        replicated.remove(quota);
        return true;
    }

    /** The owner in charge is to know at once; where it is this gateway, the other owners now and then. */
    void changed(double now, CustomerQuota quota) {
        if (!isReplicated(quota)) return;
        ReplicatedQuota kept = of(quota);
        int owner = ownership.decidingOwner(now, quota, 0);
        if (owner != peers.ownNumber()) {
            kept.reported(now);
            if (owner != QuotaOwnership.NO_OWNER) outbox.queueReport(peers.get(owner), kept);
        } else if (isSyncDue(now, kept)) {
            kept.reported(now);
            reportToOtherOwners(kept);
        }
    }

    private boolean isReplicated(CustomerQuota quota) {
        return peersInformed && quota.replicaCount() > 1;
    }

    private static boolean isSyncDue(double now, ReplicatedQuota kept) {
        return kept.sinceReportMs(now) > SYNC_MS;
    }

    private void reportToOtherOwners(ReplicatedQuota kept) {
        CustomerQuota quota = kept.quota();
        for (int rank = 0; rank < quota.ownerCount(); rank++) {
            int owner = quota.owner(rank);
            if (owner != peers.ownNumber()) outbox.queueReport(peers.get(owner), kept);
        }
    }

    /** Demand that finds no capacity is reported, too, but not each time. */
    @Override
    public void quotaExhausted(double now, CustomerQuota quota) {
        if (isReplicated(quota) && isSyncDue(now, of(quota))) changed(now, quota);
    }
}
