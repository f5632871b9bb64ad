package caperrudder.policy.gossip;

import caperrudder.api.Settings;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.OwnerLocator;

/**
 * Determines which gateways own a customer's quota and which of them decides on it: the first one by rank that is
 * responsive. A gateway that started recently leaves the decision to the next owner as long as it does not know which
 * units were used before.
 *
 * <p>Not thread-safe.
 */
public final class QuotaOwnership implements OwnerLocator {
    /** Returned by {@link #decidingOwner} if no owner can be reached. */
    static final int NO_OWNER = -1;

    private static final int OWNERS_PER_QUOTA = 2; // tolerates the failure of one owner
    private static final double MS_PER_SECOND = 1000;

    private final PeerTable peers;
    private final double startedAtMs;

    /** @param now time of this gateway's start; it may not know which units were used before */
    public QuotaOwnership(double now, Settings settings) {
        this.peers = new PeerTable(settings);
        this.startedAtMs = now;
    }

    PeerTable peers() {
        return peers;
    }

    @Override
    public int[] ownersOf(long customer, int firstReplica, int replicaCount) {
        return RendezvousHash.rank(customer, firstReplica, replicaCount, peers.size(), OWNERS_PER_QUOTA);
    }

    @Override
    public boolean decidesLocally(double now, CustomerQuota quota) {
        return decidingOwner(now, quota, 0) == peers.ownNumber();
    }

    /** Returns whether this gateway is the owner of rank 0. */
    boolean isFirstOwner(CustomerQuota quota) {
        return quota.owner(0) == peers.ownNumber();
    }

    /** Returns whether this gateway is an owner of any rank. */
    boolean isOwner(CustomerQuota quota) {
        return quota.isOwner(peers.ownNumber());
    }

    /**
     * Returns the number of the gateway that decides on a quota: the first of its owners, from a rank on, that can
     * decide. If none can, returns this gateway if it has rank 0, otherwise {@link #NO_OWNER}.
     */
    int decidingOwner(double now, CustomerQuota quota, int fromRank) {
        for (int rank = fromRank; rank < quota.ownerCount(); rank++) {
            if (canDecide(now, quota, rank)) return quota.owner(rank);
        }
        return isFirstOwner(quota) ? peers.ownNumber() : NO_OWNER;
    }

    /** Other owners must be responsive. This gateway must know the earlier use, unless no owner is left to ask. */
    private boolean canDecide(double now, CustomerQuota quota, int rank) {
        int owner = quota.owner(rank);
        if (owner != peers.ownNumber()) return !peers.get(owner).isUnresponsive(now);
        boolean isLastRank = rank == quota.ownerCount() - 1;
        return isLastRank || !isUncertain(now, quota);
    }

    /**
     * Returns whether this gateway, as an owner, does not know which units were used before its start. It knows once it
     * was informed of them, or once the time since its start suffices to fill an empty bucket.
     */
    boolean isUncertain(double now, CustomerQuota quota) {
        double refilledUnits =
                (now - startedAtMs) / MS_PER_SECOND * quota.plan().unitsPerSecond();
        return !quota.isEarlierUseKnown() && refilledUnits < quota.plan().burstUnits();
    }
}
