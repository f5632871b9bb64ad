package caperrudder.policy.gossip;

import caperrudder.api.Settings;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;

/**
 * This gateway as an owner: books what replicas report and grants what they want, as far as the bucket has it.
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
        this.maxUnits = settings.sharing().maxUnits();
        this.peers = ownership.peers();
        this.quotas = quotas;
        this.ownership = ownership;
        this.replication = replication;
        this.outbox = outbox;
    }

    void handle(double now, PeerState peer, ReplicaReport report) {
        if (!isPossible(peer, report)) return;
        CustomerQuota quota = quotas.findOrCreate(
                now, report.customer(), report.planNumber(), report.firstReplica(), report.replicaCount());
        if (quota == null || !ownership.isOwner(quota)) return;
        boolean adopted = adoptView(now, peer, quota, report);
        ReplicatedQuota kept = replication.of(quota);
        ReplicaState replica = kept.replica(peer);
        noteDemand(now, quota, replica, report);
        double spent = adopted ? 0 : replica.unbookedUnits(report.usedUnits(), maxUnits);
        noteOpen(quota, replica, report);
        quota.book(spent);
        double granted = grant(quota, replica, report);
        if (spent + granted != 0 && ownership.decidesLocally(now, quota)) replication.changed(now, quota);
        if (report.wantsReply()) outbox.queueReply(peer, kept);
    }

    /** Whether the sender may stand in the replica set that it names. */
    private boolean isPossible(PeerState peer, ReplicaReport report) {
        int place = Math.floorMod(peer.number() - report.firstReplica(), peers.size());
        return report.replicaCount() <= peers.size() && place < report.replicaCount();
    }

    /** Takes over the bucket's view of the owner in charge, or of anyone fresh where this one knows nothing. */
    private boolean adoptView(double now, PeerState peer, CustomerQuota quota, ReplicaReport report) {
        if (report.fullness().isEmpty()) return false;
        boolean uncertain = ownership.isUncertain(now, quota);
        if (!uncertain && ownership.decidingOwner(now, quota, 0) != peer.number()) return false;
        quota.adoptFullness(report.fullness().getAsDouble(), uncertain);
        return true;
    }

    private static void noteDemand(double now, CustomerQuota quota, ReplicaState replica, ReplicaReport report) {
        quota.replicaDemandChanged(report.demandPerSecond(), replica.demandPerSecond(now));
        replica.demandReported(now, report.demandPerSecond());
    }

    private static void noteOpen(CustomerQuota quota, ReplicaState replica, ReplicaReport report) {
        quota.replicaOpenChanged(report.openRequests() - replica.openRequests());
        replica.openReported(report.openRequests());
    }

    /** Grants the wanted units, all or none, and books them; returns those granted. */
    private static double grant(CustomerQuota quota, ReplicaState replica, ReplicaReport report) {
        double wanted = report.wantedUnits();
        boolean ofCeiling = report.wantsCeilingUnits() && quota.hasCeiling();
        boolean grants = wanted > 0 && quota.canGrant(wanted) && (!ofCeiling || quota.ceilingAdmits(wanted));
        double granted = grants ? wanted : 0;
        replica.book(report.usedUnits(), granted);
        quota.grant(granted);
        if (grants && ofCeiling && report.wantsReply()) { // deducted here first, so a lost message loses units
            quota.handOverCeiling(wanted);
            replica.gaveCeiling(wanted);
        }
        return granted;
    }
}
