package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replication state of one customer's quota: the state of each peer, and the requests that await an owner's
 * decision.
 *
 * <p>Not thread-safe.
 */
final class ReplicatedQuota {
    private final CustomerQuota quota;
    private final Map<Integer, ReplicaState> replicas = new TreeMap<>(); // by gateway number
    private final Deque<OwnerRequest> pendingRequests = new ArrayDeque<>();
    private double lastReportDueAtMs = Double.NEGATIVE_INFINITY;

    ReplicatedQuota(CustomerQuota quota) {
        this.quota = quota;
    }

    CustomerQuota quota() {
        return quota;
    }

    /** Returns the time since a report on the quota was last due; infinite if none was. */
    double sinceReportMs(double now) {
        return now - lastReportDueAtMs;
    }

    /** Records that a report on the quota is due now. */
    void reported(double now) {
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

    /** Adds a request that awaits an owner's decision, if it is not yet present. */
    void hold(OwnerRequest request) {
        if (!pendingRequests.contains(request)) pendingRequests.addLast(request);
    }

    /** Removes a request that no longer awaits a decision. */
    void release(OwnerRequest request) {
        pendingRequests.remove(request);
    }

    /** Returns whether requests await an owner's decision. */
    boolean holdsRequests() {
        return !pendingRequests.isEmpty();
    }

    /** Returns the units of all requests that await a decision. */
    double heldUnits() {
        return pendingRequests.stream().mapToDouble(OwnerRequest::units).sum();
    }

    /** Returns whether requests await a decision of this owner. */
    boolean isAsking(PeerState owner) {
        return pendingRequests.stream().anyMatch(request -> request.isAskedOf(owner));
    }

    /** Returns the requests that await a decision of this owner, in the order in which they were added. */
    List<OwnerRequest> askedOf(PeerState owner) {
        return pendingRequests.stream()
                .filter(request -> request.isAskedOf(owner))
                .toList();
    }

    /**
     * Returns the requests that await a decision of this owner and that the messages up to the acknowledged one asked
     * for, in the order in which they were added.
     */
    List<OwnerRequest> askedOf(PeerState owner, int acknowledgedSerial) {
        return pendingRequests.stream()
                .filter(request -> request.isAskedOf(owner) && request.isAskedBy(acknowledgedSerial))
                .toList();
    }

    /** Records that the message being written asks the owner about all requests that await its decision. */
    void askedBy(PeerState owner) {
        for (OwnerRequest request : pendingRequests) {
            if (request.isAskedOf(owner)) request.askedBy(owner.sentSerial());
        }
    }
}
