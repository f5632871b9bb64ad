package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import java.util.List;

/**
 * This gateway as a replica: takes over what an owner replies, and decides the requests held for it by what was
 * granted.
 *
 * <p>Not thread-safe.
 */
final class ReplyHandler {
    private final QuotaTable quotas;
    private final PeerTable peers;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final OwnerRequests requests;
    private final GossipOutbox outbox;

    ReplyHandler(
            QuotaTable quotas,
            QuotaOwnership ownership,
            QuotaReplication replication,
            OwnerRequests requests,
            GossipOutbox outbox) {
        this.quotas = quotas;
        this.peers = ownership.peers();
        this.ownership = ownership;
        this.replication = replication;
        this.requests = requests;
        this.outbox = outbox;
    }

    /** @param acknowledgedSerial of the last message from here that the owner had read */
    void handle(double now, PeerState owner, OwnerReply reply, int acknowledgedSerial) {
        CustomerQuota quota = quotas.find(reply.customer());
        if (quota == null) return;
        quotas.refill(now, quota);
        ReplicatedQuota kept = replication.of(quota);
        if (quota.planNumber() != reply.planNumber()) { // one of the two received a wrong plan: this grants nothing
            kept.askedOf(owner).forEach(request -> request.applicant().decided(now, false));
            return;
        }
        takeCeiling(quota, kept.replica(owner), reply);
        List<OwnerRequest> answered = kept.askedOf(owner, acknowledgedSerial);
        if (!reply.uncertain()) takeView(now, quota, reply);
        decide(now, owner, reply, answered);
    }

    private static void takeCeiling(CustomerQuota quota, ReplicaState replica, OwnerReply reply) {
        if (reply.ceilingUnitsGiven().isEmpty()) return;
        double given = reply.ceilingUnitsGiven().getAsDouble();
        if (given <= replica.ceilingTaken()) return;
        quota.receiveCeiling(given, replica.ceilingTaken());
        replica.tookCeiling(given);
    }

    private static void takeView(double now, CustomerQuota quota, OwnerReply reply) {
        double unbooked = SerialArithmetic.unitsAhead(quota.usedUnits(), reply.bookedUnits());
        double level = reply.fullness() * quota.plan().burstUnits() - unbooked;
        quota.ownerReplied(now, reply.othersDemandPerSecond(), reply.othersOpenRequests(), level);
    }

    private void decide(double now, PeerState owner, OwnerReply reply, List<OwnerRequest> answered) {
        double granted = reply.grantedUnits();
        for (OwnerRequest request : answered) {
            if (reply.uncertain() && OwnerRequests.hasNext(request)) {
                requests.askNext(now, request);
                continue;
            }
            requests.withdraw(request);
            CustomerQuota quota = request.quota();
            double units = request.units();
            boolean admitted = granted >= units && quota.ceilingAdmits(units);
            granted -= admitted ? units : 0;
            request.applicant().decided(now, admitted);
            if (admitted) informFirstOwner(owner, quota);
        }
    }

    /** The first owner did not book what another one granted. */
    private void informFirstOwner(PeerState grantedBy, CustomerQuota quota) {
        int first = quota.owner(0);
        if (grantedBy.number() == first || ownership.isFirstOwner(quota)) return;
        outbox.queueReport(peers.get(first), replication.of(quota));
    }
}
