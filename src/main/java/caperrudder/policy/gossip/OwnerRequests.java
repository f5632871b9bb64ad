package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Requests held for an owner's reply: whom they ask, and what becomes of them without one.
 *
 * <p>Not thread-safe.
 */
final class OwnerRequests {
    private static final double REPLY_TIMEOUT_MS = 150; // a due reply is missing after so long
    private static final double SILENT_MS = 1000; // a peer that missed a reply is not asked so long

    private final PeerTable peers;
    private final QuotaTable quotas;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final GossipOutbox outbox;
    private final Set<OwnerRequest> awaiting = new LinkedHashSet<>();

    OwnerRequests(QuotaTable quotas, QuotaOwnership ownership, QuotaReplication replication, GossipOutbox outbox) {
        this.quotas = quotas;
        this.peers = ownership.peers();
        this.ownership = ownership;
        this.replication = replication;
        this.outbox = outbox;
    }

    /**
     * Asks the owner of a new request, which may decide it at once.
     *
     * @param arrivedAt while this gateway is late no reply would be read in time, so its own share decides
     */
    void submit(double now, OwnerRequest request, double arrivedAt) {
        boolean inTime = now - arrivedAt < REPLY_TIMEOUT_MS / 2;
        ask(now, request, inTime ? 0 : request.quota().ownerCount());
    }

    /** Asks the next owner of a request. */
    void askNext(double now, OwnerRequest request) {
        ask(now, request, request.ownerRank() + 1);
    }

    /** Whether an owner of a higher rank than the asked one is left. */
    static boolean hasNext(OwnerRequest request) {
        return request.ownerRank() + 1 < request.quota().ownerCount();
    }

    /** Holds a request for the reply of the next owner that may know; without one the own share decides. */
    private void ask(double now, OwnerRequest request, int fromRank) {
        CustomerQuota quota = request.quota();
        boolean isRankLeft = fromRank < quota.ownerCount();
        int owner = isRankLeft ? ownership.decidingOwner(now, quota, fromRank) : QuotaOwnership.NO_OWNER;
        boolean inTime = now + REPLY_TIMEOUT_MS < request.applicant().decisionDueAt();
        if (owner == QuotaOwnership.NO_OWNER || owner == peers.ownNumber() || !inTime) {
            decideAlone(now, request, owner != QuotaOwnership.NO_OWNER);
            return;
        }
        PeerState peer = peers.get(owner);
        int rank = owner == quota.owner(0) ? 0 : quota.ownerCount() - 1;
        request.ask(peer, rank, now + REPLY_TIMEOUT_MS);
        ReplicatedQuota kept = replication.of(quota);
        kept.hold(request);
        awaiting.add(request);
        kept.reported(now);
        outbox.queueReport(peer, kept);
    }

    private void decideAlone(double now, OwnerRequest request, boolean ownerKnown) {
        CustomerQuota quota = request.quota();
        withdraw(request);
        boolean admitted = quota.admitsUndecided(request.units(), ownerKnown);
        request.applicant().decided(now, admitted);
        replication.changed(now, quota);
    }

    /** The request needs no reply any more. */
    void withdraw(OwnerRequest request) {
        replication.of(request.quota()).release(request);
    }

    /** Silence of a peer shows only where a reply was due: then it is passed over for a while. */
    void checkOverdue(double now) {
        awaiting.removeIf(request -> request.applicant().isSettled());
        for (OwnerRequest request :
                awaiting.stream().filter(held -> held.isReplyMissing(now)).toList()) {
            awaiting.remove(request);
            peers.get(request.owner()).silentUntil(now + SILENT_MS);
            quotas.refill(now, request.quota());
            askNext(now, request);
        }
    }

    /** This gateway stood still for so long: no peer is blamed for what it reads only now. */
    void postponeReplies(double stalledMs) {
        for (OwnerRequest request : awaiting) {
            request.postponeReply(stalledMs);
        }
    }
}
