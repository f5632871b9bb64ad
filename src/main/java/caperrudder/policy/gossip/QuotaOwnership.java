package caperrudder.policy.gossip;

import caperrudder.api.Settings;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.OwnerLocator;

/**
 * Which gateway owns a customer's quota: the first of the ranked ones of its replica set that is not silent. An owner
 * new to its incarnation is uncertain and passes the quota on to the next.
 *
 * <p>Not thread-safe.
 */
public final class QuotaOwnership implements OwnerLocator {
    /** What {@link #decidingOwner} says where no owner can be reached. */
    static final int NO_OWNER = -1;

    private static final int OWNERS = 2; // gateways of a replica set that keep a quota: one may be down
    private static final double MS_PER_SECOND = 1000;

    private final PeerTable peers;
    private final double startedAt;

    /** @param now time of this gateway's start: its incarnation */
    public QuotaOwnership(double now, Settings settings) {
        this.peers = new PeerTable(settings);
        this.startedAt = now;
    }

    PeerTable peers() {
        return peers;
    }

    @Override
    public int[] ownersOf(long customer, int firstReplica, int replicaCount) {
        return RendezvousHash.rank(customer, firstReplica, replicaCount, peers.size(), OWNERS);
    }

    @Override
    public boolean decidesLocally(double now, CustomerQuota quota) {
        return decidingOwner(now, quota, 0) == peers.ownNumber();
    }

    /** Whether this gateway is the owner of the first rank. */
    boolean isFirstOwner(CustomerQuota quota) {
        return quota.owner(0) == peers.ownNumber();
    }

    boolean isOwner(CustomerQuota quota) {
        return quota.isOwner(peers.ownNumber());
    }

    /** The gateway that decides on a customer, among its owners from a rank on, or {@link #NO_OWNER}. */
    int decidingOwner(double now, CustomerQuota quota, int fromRank) {
        for (int rank = fromRank; rank < quota.ownerCount(); rank++) {
            if (canDecide(now, quota, rank)) return quota.owner(rank);
        }
        return isFirstOwner(quota) ? peers.ownNumber() : NO_OWNER;
    }

    private boolean canDecide(double now, CustomerQuota quota, int rank) {
        int owner = quota.owner(rank);
        if (owner != peers.ownNumber()) return !peers.get(owner).isSilent(now);
        boolean last = rank == quota.ownerCount() - 1;
        return last || !isUncertain(now, quota);
    }

    /** An owner new to its incarnation does not know what was used before, until informed or until it cannot matter. */
    boolean isUncertain(double now, CustomerQuota quota) {
        double filled = (now - startedAt) / MS_PER_SECOND * quota.plan().unitsPerSecond();
        return !quota.isInformed() && filled < quota.plan().burstUnits();
    }
}
