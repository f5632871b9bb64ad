package caperrudder.policy.gossip;

import caperrudder.api.PolicyActions;
import caperrudder.api.Settings;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaExhaustionListener;
import caperrudder.policy.quota.QuotaTable;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Exchanges quota messages with the other gateways. Passes received reports to {@link ReportHandler}, received replies
 * to {@link ReplyHandler}, and sends the messages that are due.
 *
 * <p>Not thread-safe.
 */
public final class QuotaGossip implements QuotaExhaustionListener {
    private final int planCount;
    private final PeerTable peers;
    private final QuotaTable quotas;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final PendingDecisions decisions;
    private final ReportHandler reports;
    private final ReplyHandler replies;
    private final GossipOutbox outbox;

    /** @param now time of this gateway's start, which identifies its incarnation in messages */
    public QuotaGossip(
            double now, Settings settings, QuotaTable quotas, QuotaOwnership ownership, PolicyActions actions) {
        this.planCount = settings.plans().size();
        this.peers = ownership.peers();
        this.quotas = quotas;
        this.ownership = ownership;
        double acceptedPerSecond = settings.coordination().peerMessagesPerSecond();
        this.outbox = new GossipOutbox(now, peers.size(), acceptedPerSecond, actions, new CurrentEntryFactory());
        this.replication = new QuotaReplication(settings, ownership, outbox);
        this.decisions = new PendingDecisions(quotas, ownership, replication, outbox);
        this.reports = new ReportHandler(settings, quotas, ownership, replication, outbox);
        this.replies = new ReplyHandler(quotas, ownership, replication, decisions, outbox);
    }

    /** Handles a message from another gateway. Ignores it if it is damaged, outdated or from an unknown sender. */
    public void receive(double now, int from, byte[] data) {
        if (!peers.isPeer(from)) return;
        Optional<QuotaMessage> decoded = QuotaMessageCodec.decode(data);
        if (decoded.isEmpty()) return;
        QuotaMessage message = decoded.get();
        PeerState peer = peers.get(from);
        if (!outbox.accept(now, peer, message)) return;
        for (QuotaEntry entry : message.entries()) {
            if (entry.planNumber() < planCount) handle(now, peer, message, entry);
        }
        flush(now);
    }

    private void handle(double now, PeerState peer, QuotaMessage message, QuotaEntry entry) {
        if (entry instanceof ReplicaReport report) {
            reports.handle(now, peer, report);
        } else if (entry instanceof OwnerReply reply && message.receiverIncarnation() == outbox.incarnation()) {
            replies.handle(now, peer, reply, message.acknowledgedSerial());
        }
    }

    /** Sends the messages that are due, within the rate that peers accept. */
    public void flush(double now) {
        outbox.flush(now);
    }

    /** Reports to a quota's owners that its use at this gateway has changed. */
    public void quotaChanged(double now, CustomerQuota quota) {
        replication.reportChange(now, quota);
    }

    @Override
    public void quotaExhausted(double now, CustomerQuota quota) {
        replication.quotaExhausted(now, quota);
    }

    /**
     * Asks an owner to decide a request. If no owner can decide in time, the request is decided locally before this
     * method returns.
     *
     * @param arrivedAt time in milliseconds at which the request arrived
     */
    public void ask(double now, PendingDecision decision, double arrivedAt) {
        decisions.submit(now, decision, arrivedAt);
    }

    /** Removes a decision that is no longer needed. */
    public void withdraw(PendingDecision decision) {
        decisions.withdraw(decision);
    }

    /** Asks the next owners about decisions whose replies are overdue. */
    public void handleOverdueReplies(double now) {
        decisions.handleOverdueReplies(now);
    }

    /** Extends the reply deadlines after this gateway's event loop was stalled. */
    public void eventLoopStalled(double stalledMs) {
        decisions.extendReplyDeadlines(stalledMs);
    }

    /**
     * Removes the replication state of a quota, unless decisions on it are pending.
     *
     * @return false if decisions are pending, so that the state is kept
     */
    public boolean removeIfIdle(CustomerQuota quota) {
        return replication.removeIfIdle(quota);
    }

    /** Creates each entry when its message is sent, so that it carries the current state. */
    private final class CurrentEntryFactory implements GossipOutbox.EntryFactory {
        @Override
        public ReplicaReport createReport(double now, PeerState owner, ReplicatedQuota replicated) {
            CustomerQuota quota = replicated.quota();
            quotas.refill(now, quota);
            replicated.recordReportTo(owner);
            double wantedUnits = replicated.pendingUnits();
            return new ReplicaReport(
                    quota.customer(),
                    quota.planNumber(),
                    quota.firstReplica(),
                    quota.replicaCount(),
                    quota.usedUnits(),
                    wantedUnits,
                    quota.ownDemandPerSecond(),
                    quota.openRequests(),
                    knownFillRatio(now, quota),
                    wantsReply(now, owner, replicated),
                    !quota.ceilingAdmits(wantedUnits));
        }

        private OptionalDouble knownFillRatio(double now, CustomerQuota quota) {
            boolean isFresh = ownership.decidesLocally(now, quota)
                    || quota.ownerReplyAgeMs(now) < AdmissionControl.OWNER_REPLY_STALE_MS;
            return isFresh ? OptionalDouble.of(quota.fillRatio()) : OptionalDouble.empty();
        }

        private boolean wantsReply(double now, PeerState owner, ReplicatedQuota replicated) {
            return ownership.decidingOwner(now, replicated.quota(), 0) == owner.number()
                    || owner.isUnresponsive(now)
                    || replicated.hasPendingAt(owner);
        }

        @Override
        public OwnerReply createReply(double now, PeerState replicaPeer, ReplicatedQuota replicated) {
            CustomerQuota quota = replicated.quota();
            quotas.refill(now, quota);
            ReplicaState replica = replicated.replica(replicaPeer);
            double replicaDemand = replica.demandPerSecond(now);
            return new OwnerReply(
                    quota.customer(),
                    quota.planNumber(),
                    replica.chargedUnits(),
                    replica.grantedUnits(),
                    Math.max(0, quota.totalDemandPerSecond() - replicaDemand),
                    quota.totalOpenRequests() - replica.openRequests(),
                    quota.fillRatio(),
                    ownership.isUncertain(now, quota),
                    quota.hasCeiling() ? OptionalDouble.of(replica.ceilingUnitsGranted()) : OptionalDouble.empty());
        }
    }
}
