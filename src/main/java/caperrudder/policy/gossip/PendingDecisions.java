package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The decisions that are pending at owners. Selects the owner to ask and handles missing replies.
 *
 * <p>Not thread-safe.
 */
final class PendingDecisions {
    private static final double REPLY_TIMEOUT_MS = 150; // after which a reply that is due counts as missing
    private static final double UNRESPONSIVE_MS = 1000; // an owner that missed a reply is not asked during this time

    private final PeerTable peers;
    private final QuotaTable quotas;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final GossipOutbox outbox;
    private final Set<PendingDecision> awaitingReply = new LinkedHashSet<>();

    PendingDecisions(QuotaTable quotas, QuotaOwnership ownership, QuotaReplication replication, GossipOutbox outbox) {
        this.quotas = quotas;
        this.peers = ownership.peers();
        this.ownership = ownership;
        this.replication = replication;
        this.outbox = outbox;
    }

    /**
     * Asks an owner to decide a new request. If no owner can decide in time, the request is decided locally before this
     * method returns. A request that this gateway handles late is decided locally too, because the reply would also be
     * handled late.
     *
     * @param arrivedAt time in milliseconds at which the request arrived
     */
    void submit(double now, PendingDecision decision, double arrivedAt) {
        boolean isOnTime = now - arrivedAt < REPLY_TIMEOUT_MS / 2;
        ask(now, decision, isOnTime ? 0 : decision.quota().ownerCount());
    }

    /** Asks the owner of the next rank to decide, or decides locally. */
    void askNextOwner(double now, PendingDecision decision) {
        ask(now, decision, decision.ownerRank() + 1);
    }

    /** Returns whether there is an owner of a later rank than the one that the decision is assigned to. */
    static boolean hasNextOwner(PendingDecision decision) {
        return decision.ownerRank() + 1 < decision.quota().ownerCount();
    }

    /**
     * Asks the first owner from a rank on that can decide. Decides locally if there is none, if it is this gateway, or
     * if the owner's reply could come too late.
     */
    private void ask(double now, PendingDecision decision, int fromRank) {
        CustomerQuota quota = decision.quota();
        boolean hasOwnerLeft = fromRank < quota.ownerCount();
        int owner = hasOwnerLeft ? ownership.decidingOwner(now, quota, fromRank) : QuotaOwnership.NO_OWNER;
        boolean hasTimeToReply = now + REPLY_TIMEOUT_MS < decision.request().decisionDueAtMs();
        if (owner == QuotaOwnership.NO_OWNER || owner == peers.ownNumber() || !hasTimeToReply) {
            decideLocally(now, decision, owner != QuotaOwnership.NO_OWNER);
            return;
        }
        PeerState peer = peers.get(owner);
        int rank = owner == quota.owner(0) ? 0 : quota.ownerCount() - 1;
        decision.assignTo(peer, rank, now + REPLY_TIMEOUT_MS);
        ReplicatedQuota replicated = replication.stateOf(quota);
        replicated.addPending(decision);
        awaitingReply.add(decision);
        replicated.recordReport(now);
        outbox.queueReport(peer, replicated);
    }

    /** Decides by the shared bucket if an owner was found that can decide, otherwise by this gateway's own share. */
    private void decideLocally(double now, PendingDecision decision, boolean isOwnerKnown) {
        CustomerQuota quota = decision.quota();
        withdraw(decision);
        boolean admitted = quota.admitsWithoutOwner(decision.units(), isOwnerKnown);
        decision.request().onDecision(now, admitted);
        replication.reportChange(now, quota);
    }

    /** Removes a decision that is no longer needed. */
    void withdraw(PendingDecision decision) {
        replication.stateOf(decision.quota()).removePending(decision);
    }

    /**
     * Asks the next owner about each decision whose reply is overdue, and decides locally what can wait no longer. The
     * owner that did not reply counts as unresponsive for a while. There are no heartbeats, so only an overdue reply
     * shows that an owner may have failed.
     */
    void handleOverdueReplies(double now) {
        awaitingReply.removeIf(decision -> decision.request().isDecided());
        for (PendingDecision decision : awaitingReply.stream()
                .filter(pending -> pending.isWaitOver(now))
                .toList()) {
            awaitingReply.remove(decision);
            if (decision.isReplyOverdue(now)) {
                peers.get(decision.owner()).markUnresponsiveUntil(now + UNRESPONSIVE_MS);
            }
            quotas.refill(now, decision.quota());
            askNextOwner(now, decision);
        }
    }

    /** Extends the reply deadlines after a stall of this gateway, which may have delayed the reading of replies. */
    void extendReplyDeadlines(double stalledMs) {
        for (PendingDecision decision : awaitingReply) {
            decision.extendReplyDeadline(stalledMs);
        }
    }
}
