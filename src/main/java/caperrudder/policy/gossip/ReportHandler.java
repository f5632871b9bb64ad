package caperrudder.policy.gossip;

import caperrudder.api.Settings;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;

/**
 * Handles the reports of replicas to this gateway as an owner: charges the units that they used and grants the units
 * that they want, if the quota admits them.
 *
 * <p>Not thread-safe.
 */
final class ReportHandler {
    private final double maxUnits;
    private final PeerTable peers;
    private final QuotaTable quotas;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final GossipOutbox outbox;

    ReportHandler(
            Settings settings,
            QuotaTable quotas,
            QuotaOwnership ownership,
            QuotaReplication replication,
            GossipOutbox outbox) {
        this.maxUnits = settings.coordination().maxUnits();
        this.peers = ownership.peers();
        this.quotas = quotas;
        this.ownership = ownership;
        this.replication = replication;
        this.outbox = outbox;
    }

    void handle(double now, PeerState peer, ReplicaReport report) {
        if (!isFromReplica(peer, report)) return;
        CustomerQuota quota = quotas.findOrCreate(
                now, report.customer(), report.planNumber(), report.firstReplica(), report.replicaCount());
        if (quota == null || !ownership.isOwner(quota)) return;
        boolean viewAdopted = adoptView(now, peer, quota, report);
        ReplicatedQuota replicated = replication.stateOf(quota);
        ReplicaState replica = replicated.replica(peer);
        recordDemand(now, quota, replica, report);
        double newlyUsedUnits = viewAdopted ? 0 : replica.unchargedUnits(report.usedUnits(), maxUnits);
        recordOpenRequests(quota, replica, report);
        quota.chargeReplicaUse(newlyUsedUnits);
        double grantedUnits = grant(quota, replica, report);
        if (newlyUsedUnits + grantedUnits != 0 && ownership.decidesLocally(now, quota))
            replication.reportChange(now, quota);
        if (report.wantsReply()) outbox.queueReply(peer, replicated);
    }

    /** Returns whether the sender belongs to the replica set that its report names. */
    private boolean isFromReplica(PeerState peer, ReplicaReport report) {
        int position = Math.floorMod(peer.number() - report.firstReplica(), peers.size());
        return report.replicaCount() <= peers.size() && position < report.replicaCount();
    }

    /**
     * Takes over the sender's view of the shared bucket if the sender decides on the quota, or if this gateway is
     * uncertain. While this gateway is uncertain, the view can only lower the level. Returns whether it was taken over,
     * so that the units that the sender reports as used are not charged again.
     */
    private boolean adoptView(double now, PeerState peer, CustomerQuota quota, ReplicaReport report) {
        if (report.fillRatio().isEmpty()) return false;
        boolean uncertain = ownership.isUncertain(now, quota);
        if (!uncertain && ownership.decidingOwner(now, quota, 0) != peer.number()) return false;
        quota.adoptFillRatio(report.fillRatio().getAsDouble(), uncertain);
        return true;
    }

    private static void recordDemand(double now, CustomerQuota quota, ReplicaState replica, ReplicaReport report) {
        quota.replicaDemandChanged(report.demandPerSecond(), replica.demandPerSecond(now));
        replica.recordDemand(now, report.demandPerSecond());
    }

    private static void recordOpenRequests(CustomerQuota quota, ReplicaState replica, ReplicaReport report) {
        quota.addReplicaOpenRequests(report.openRequests() - replica.openRequests());
        replica.recordOpenRequests(report.openRequests());
    }

    /** Grants all wanted units or none, charges them, and returns the number granted. */
    private static double grant(CustomerQuota quota, ReplicaState replica, ReplicaReport report) {
        double wantedUnits = report.wantedUnits();
        boolean needsCeiling = report.wantsCeilingUnits() && quota.hasCeiling();
        boolean isGranted =
                wantedUnits > 0 && quota.canGrant(wantedUnits) && (!needsCeiling || quota.ceilingAdmits(wantedUnits));
        double grantedUnits = isGranted ? wantedUnits : 0;
        replica.recordCharge(report.usedUnits(), grantedUnits);
        quota.grant(grantedUnits);
        if (isGranted && needsCeiling && report.wantsReply()) {
            // Deducted before the reply is sent, so that a lost reply can lose units but never create any.
            quota.grantCeilingUnits(wantedUnits);
            replica.addCeilingUnitsGranted(wantedUnits);
        }
        return grantedUnits;
    }
}
