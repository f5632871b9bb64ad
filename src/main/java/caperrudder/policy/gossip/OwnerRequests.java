package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests that await an owner's decision. Selects the owner to ask and handles missing replies.
 *
 * <p>Not thread-safe.
 */
final class OwnerRequests {
    private static final double REPLY_TIMEOUT_MS = 150;
    private static final double UNRESPONSIVE_MS = 1000; // an owner that missed a reply is not asked during this time

    private final PeerTable peers;
    private final QuotaTable quotas;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final GossipOutbox outbox;
    private final Set<OwnerRequest> awaitingReply = new LinkedHashSet<>();

    OwnerRequests(QuotaTable quotas, QuotaOwnership ownership, QuotaReplication replication, GossipOutbox outbox) {
        this.quotas = quotas;
        this.peers = ownership.peers();
        this.ownership = ownership;
        this.replication = replication;
        this.outbox = outbox;
    }

    /**
     * Asks an owner to decide a new request. If no owner can decide in time, the request is decided locally before this
     * method returns. This includes the case that this gateway handles events late, and would read a reply too late.
     *
     * @param arrivedAt time in milliseconds at which the request arrived
     */
    void submit(double now, OwnerRequest request, double arrivedAt) {
        boolean isOnTime = now - arrivedAt < REPLY_TIMEOUT_MS / 2;
        ask(now, request, isOnTime ? 0 : request.quota().ownerCount());
    }

    /** Asks the owner of the next rank to decide a request, or decides it locally. */
    void askNext(double now, OwnerRequest request) {
        ask(now, request, request.ownerRank() + 1);
    }

    /** Returns whether there is an owner of a later rank than the one asked. */
    static boolean hasNext(OwnerRequest request) {
        return request.ownerRank() + 1 < request.quota().ownerCount();
    }

    /**
     * Asks the first owner from a rank on that can decide. Decides locally if there is none, if it is this gateway, or
     * if its reply could come too late.
     */
    private void ask(double now, OwnerRequest request, int fromRank) {
        CustomerQuota quota = request.quota();
        boolean hasOwnerLeft = fromRank < quota.ownerCount();
        int owner = hasOwnerLeft ? ownership.decidingOwner(now, quota, fromRank) : QuotaOwnership.NO_OWNER;
        boolean hasTimeToReply = now + REPLY_TIMEOUT_MS < request.applicant().decisionDueAt();
        if (owner == QuotaOwnership.NO_OWNER || owner == peers.ownNumber() || !hasTimeToReply) {
            decideLocally(now, request, owner != QuotaOwnership.NO_OWNER);
            return;
        }
        PeerState peer = peers.get(owner);
        int rank = owner == quota.owner(0) ? 0 : quota.ownerCount() - 1;
        request.ask(peer, rank, now + REPLY_TIMEOUT_MS);
        ReplicatedQuota replicated = replication.of(quota);
        replicated.hold(request);
        awaitingReply.add(request);
        replicated.reported(now);
        outbox.queueReport(peer, replicated);
    }

    /** Decides by the shared bucket if an owner is known, otherwise by this gateway's own share. */
    private void decideLocally(double now, OwnerRequest request, boolean isOwnerKnown) {
        CustomerQuota quota = request.quota();
        withdraw(request);
        boolean admitted = quota.admitsWithoutOwner(request.units(), isOwnerKnown);
        request.applicant().decided(now, admitted);
        replication.changed(now, quota);
    }

    /** Removes a request that no longer needs a decision. */
    void withdraw(OwnerRequest request) {
        replication.of(request.quota()).release(request);
    }

    /**
     * Asks the next owner about each request whose reply is overdue. The owner that did not reply counts as
     * unresponsive for a while. Silence shows a failure only if a reply is due, since there are no heartbeats.
     */
    void checkOverdue(double now) {
        awaitingReply.removeIf(request -> request.applicant().isSettled());
        for (OwnerRequest request : awaitingReply.stream()
                .filter(pending -> pending.isReplyMissing(now))
                .toList()) {
            awaitingReply.remove(request);
            peers.get(request.owner()).silentUntil(now + UNRESPONSIVE_MS);
            quotas.refill(now, request.quota());
            askNext(now, request);
        }
    }

    /** Extends the reply times after a stall of this gateway, which may have delayed the reading of replies. */
    void postponeReplies(double stalledMs) {
        for (OwnerRequest request : awaitingReply) {
            request.postponeReply(stalledMs);
        }
    }
}
