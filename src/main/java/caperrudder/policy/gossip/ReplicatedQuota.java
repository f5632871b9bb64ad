package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What gossip keeps beside one customer's quota: what each peer knows of it, and requests held for an owner's reply.
 *
 * <p>Not thread-safe.
 */
final class ReplicatedQuota {
    private final CustomerQuota quota;
    private final Map<Integer, ReplicaState> replicas = new TreeMap<>(); // by the gateway's number
    private final Deque<OwnerRequest> held = new ArrayDeque<>();
    private double reportedAt = Double.NEGATIVE_INFINITY;

    ReplicatedQuota(CustomerQuota quota) {
        this.quota = quota;
    }

    CustomerQuota quota() {
        return quota;
    }

    /** Time since this gateway last reported on the customer, or meant to. */
    double sinceReportMs(double now) {
        return now - reportedAt;
    }

    void reported(double now) {
        reportedAt = now;
    }

    /** What is known between this gateway and a peer, new for each incarnation of the peer. */
    ReplicaState replica(PeerState peer) {
        ReplicaState replica = replicas.get(peer.number());
        if (replica == null || replica.incarnation() != peer.incarnation()) {
            if (replica != null) quota.replicaOpenChanged(-replica.openRequests());
            replica = new ReplicaState(peer.incarnation());
            replicas.put(peer.number(), replica);
        }
        return replica;
    }

    void hold(OwnerRequest request) {
        if (!held.contains(request)) held.addLast(request);
    }

    void release(OwnerRequest request) {
        held.remove(request);
    }

    boolean holdsRequests() {
        return !held.isEmpty();
    }

    /** Units that all held requests need. */
    double heldUnits() {
        return held.stream().mapToDouble(OwnerRequest::units).sum();
    }

    boolean isAsking(PeerState owner) {
        return held.stream().anyMatch(request -> request.isAskedOf(owner));
    }

    /** The held requests that an owner was asked for, in order. */
    List<OwnerRequest> askedOf(PeerState owner) {
        return held.stream().filter(request -> request.isAskedOf(owner)).toList();
    }

    /** The held requests that a message up to this number asked an owner for, in order. */
    List<OwnerRequest> askedOf(PeerState owner, int acknowledgedSerial) {
        return held.stream()
                .filter(request -> request.isAskedOf(owner) && request.isAskedBy(acknowledgedSerial))
                .toList();
    }

    /** The message now written asks the owner for all that is held for it. */
    void askedBy(PeerState owner) {
        for (OwnerRequest request : held) {
            if (request.isAskedOf(owner)) request.askedBy(owner.sentSerial());
        }
    }
}
