package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import java.util.List;

/**
 * Handles the replies of owners to this gateway as a replica: takes over the owner's view of the quota and completes
 * the pending decisions that the reply answers.
 *
 * <p>Not thread-safe.
 */
final class ReplyHandler {
    private final QuotaTable quotas;
    private final PeerTable peers;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final PendingDecisions decisions;
    private final GossipOutbox outbox;

    ReplyHandler(
            QuotaTable quotas,
            QuotaOwnership ownership,
            QuotaReplication replication,
            PendingDecisions decisions,
            GossipOutbox outbox) {
        this.quotas = quotas;
        this.peers = ownership.peers();
        this.ownership = ownership;
        this.replication = replication;
        this.decisions = decisions;
        this.outbox = outbox;
    }

    /** @param acknowledgedSerial the serial of the last message from this gateway that the owner had accepted */
    void handle(double now, PeerState owner, OwnerReply reply, int acknowledgedSerial) {
        CustomerQuota quota = quotas.find(reply.customer());
        if (quota == null) return;
        quotas.refill(now, quota);
        ReplicatedQuota replicated = replication.stateOf(quota);
        if (quota.planNumber() != reply.planNumber()) { // one of the two gateways has a wrong plan
            replicated.pendingAt(owner).forEach(decision -> decision.request().onDecision(now, false));
            return;
        }
        receiveCeilingUnits(quota, replicated.replica(owner), reply);
        List<PendingDecision> answeredDecisions = replicated.pendingAt(owner, acknowledgedSerial);
        if (!reply.uncertain()) applyOwnerView(now, quota, reply);
        decide(now, owner, reply, answeredDecisions);
    }

    private static void receiveCeilingUnits(CustomerQuota quota, ReplicaState replica, OwnerReply reply) {
        if (reply.ceilingUnitsGranted().isEmpty()) return;
        double grantedCeilingUnits = reply.ceilingUnitsGranted().getAsDouble();
        if (grantedCeilingUnits <= replica.ceilingUnitsReceived()) return;
        quota.receiveCeilingUnits(grantedCeilingUnits, replica.ceilingUnitsReceived());
        replica.setCeilingUnitsReceived(grantedCeilingUnits);
    }

    private static void applyOwnerView(double now, CustomerQuota quota, OwnerReply reply) {
        double unchargedUnits = SerialArithmetic.unitsAhead(quota.usedUnits(), reply.chargedUnits());
        double sharedLevelUnits = reply.fillRatio() * quota.plan().burstUnits() - unchargedUnits;
        quota.ownerReplied(now, reply.peerDemandPerSecond(), reply.peerOpenRequests(), sharedLevelUnits);
    }

    private void decide(double now, PeerState owner, OwnerReply reply, List<PendingDecision> answeredDecisions) {
        double remainingUnits = reply.grantedUnits();
        for (PendingDecision decision : answeredDecisions) {
            if (reply.uncertain() && PendingDecisions.hasNextOwner(decision)) {
                decisions.askNextOwner(now, decision);
                continue;
            }
            decisions.withdraw(decision);
            CustomerQuota quota = decision.quota();
            double units = decision.units();
            boolean admitted = remainingUnits >= units && quota.ceilingAdmits(units);
            remainingUnits -= admitted ? units : 0;
            decision.request().onDecision(now, admitted);
            if (admitted) informFirstOwner(owner, quota);
        }
    }

    /** Reports to the first owner, which has not charged the units that another owner granted. */
    private void informFirstOwner(PeerState grantedBy, CustomerQuota quota) {
        int first = quota.owner(0);
        if (grantedBy.number() == first || ownership.isFirstOwner(quota)) return;
        outbox.queueReport(peers.get(first), replication.stateOf(quota));
    }
}
