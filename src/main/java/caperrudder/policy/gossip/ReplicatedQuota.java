package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replication state of one customer's quota: the state of each peer, and the decisions that are pending
 * at owners.
 *
 * <p>Not thread-safe.
 */
final class ReplicatedQuota {
    private final CustomerQuota quota;
    private final Map<Integer, ReplicaState> replicas = new TreeMap<>(); // by gateway number
    private final Deque<PendingDecision> pendingDecisions = new ArrayDeque<>();
    private double lastReportDueAtMs = Double.NEGATIVE_INFINITY;

    ReplicatedQuota(CustomerQuota quota) {
        this.quota = quota;
    }

    CustomerQuota quota() {
        return quota;
    }

    /** Returns the time since a report on the quota was last due; infinite if none was. */
    double timeSinceReportMs(double now) {
        return now - lastReportDueAtMs;
    }

    /** Records that a report on the quota is due now. */
    void recordReport(double now) {
        lastReportDueAtMs = now;
    }

    /** Returns the state of a peer. It is created on first use and replaced if the peer has a new incarnation. */
    ReplicaState replica(PeerState peer) {
        ReplicaState replica = replicas.get(peer.number());
        if (replica == null || replica.incarnation() != peer.incarnation()) {
            if (replica != null) quota.addReplicaOpenRequests(-replica.openRequests());
            replica = new ReplicaState(peer.incarnation());
            replicas.put(peer.number(), replica);
        }
        return replica;
    }

    /** Adds a pending decision, unless it is present. */
    void addPending(PendingDecision decision) {
        if (!pendingDecisions.contains(decision)) pendingDecisions.addLast(decision);
    }

    /** Removes a decision that is no longer pending. */
    void removePending(PendingDecision decision) {
        pendingDecisions.remove(decision);
    }

    /** Returns whether decisions are pending. */
    boolean hasPending() {
        return !pendingDecisions.isEmpty();
    }

    /** Returns the sum of the units of all pending decisions. */
    double pendingUnits() {
        return pendingDecisions.stream().mapToDouble(PendingDecision::units).sum();
    }

    /** Returns whether decisions are pending at an owner. */
    boolean hasPendingAt(PeerState owner) {
        return pendingDecisions.stream().anyMatch(decision -> decision.isAssignedTo(owner));
    }

    /** Returns the decisions that are pending at an owner, in the order in which they were added. */
    List<PendingDecision> pendingAt(PeerState owner) {
        return pendingDecisions.stream()
                .filter(decision -> decision.isAssignedTo(owner))
                .toList();
    }

    /**
     * Returns the decisions that are pending at an owner and that the messages up to the acknowledged one asked for, in
     * the order in which they were added.
     */
    List<PendingDecision> pendingAt(PeerState owner, int acknowledgedSerial) {
        return pendingDecisions.stream()
                .filter(decision -> decision.isAssignedTo(owner) && decision.wasReportedUpTo(acknowledgedSerial))
                .toList();
    }

    /** Records that the message being written asks the owner for all decisions that are pending at it. */
    void recordReportTo(PeerState owner) {
        for (PendingDecision decision : pendingDecisions) {
            if (decision.isAssignedTo(owner)) decision.recordReportSerial(owner.lastSentSerial());
        }
    }
}
