package caperrudder.policy.gossip;

import caperrudder.api.PolicyActions;
import caperrudder.api.Settings;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.quota.RejectionListener;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The exchange of quota messages with the other gateways: what comes in is handed to the owner's or the replica's
 * side, what is due goes out.
 *
 * <p>Not thread-safe.
 */
public final class QuotaGossip implements RejectionListener {
    private final int planCount;
    private final PeerTable peers;
    private final QuotaTable quotas;
    private final QuotaOwnership ownership;
    private final QuotaReplication replication;
    private final OwnerRequests requests;
    private final ReportHandler reports;
    private final ReplyHandler replies;
    private final GossipOutbox outbox;

    /** @param now time of this gateway's start, which names its incarnation in messages */
    public QuotaGossip(
            double now, Settings settings, QuotaTable quotas, QuotaOwnership ownership, PolicyActions actions) {
        this.planCount = settings.plans().size();
        this.peers = ownership.peers();
        this.quotas = quotas;
        this.ownership = ownership;
        double intakePerSecond = settings.sharing().peerMessagesPerSecond();
        this.outbox = new GossipOutbox(now, peers.size(), intakePerSecond, actions, new Entries());
        this.replication = new QuotaReplication(settings, ownership, outbox);
        this.requests = new OwnerRequests(quotas, ownership, replication, outbox);
        this.reports = new ReportHandler(settings, quotas, ownership, replication, outbox);
        this.replies = new ReplyHandler(quotas, ownership, replication, requests, outbox);
    }

    /** Bytes came from a peer; from an unknown sender, or damaged, they change nothing. */
    public void receive(double now, int from, byte[] data) {
        if (!peers.isOther(from)) return;
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

    /** Sends what is due, as far as the peers take it in. */
    public void flush(double now) {
        outbox.flush(now);
    }

    /** A customer's use changed here: its owners are to know. */
    public void quotaChanged(double now, CustomerQuota quota) {
        replication.changed(now, quota);
    }

    @Override
    public void quotaExhausted(double now, CustomerQuota quota) {
        replication.quotaExhausted(now, quota);
    }

    /** Asks an owner to decide; without one that can reply in time the request is decided at once. */
    public void ask(double now, OwnerRequest request, double arrivedAt) {
        requests.submit(now, request, arrivedAt);
    }

    /** The request needs no decision any more. */
    public void withdraw(OwnerRequest request) {
        requests.withdraw(request);
    }

    /** Passes over owners whose replies are overdue, and asks the next ones. */
    public void checkOverdueReplies(double now) {
        requests.checkOverdue(now);
    }

    /** This gateway stood still for so long. */
    public void stalled(double ms) {
        requests.postponeReplies(ms);
    }

    /** Drops what is kept beside a quota; false where requests are held for it. */
    public boolean release(CustomerQuota quota) {
        return replication.release(quota);
    }

    /** Writes entries as they leave, so that they report the latest. */
    private final class Entries implements GossipOutbox.EntryWriter {
        @Override
        public ReplicaReport report(double now, PeerState owner, ReplicatedQuota kept) {
            CustomerQuota quota = kept.quota();
            quotas.refill(now, quota);
            kept.askedBy(owner);
            double wanted = kept.heldUnits();
            return new ReplicaReport(
                    quota.customer(),
                    quota.planNumber(),
                    quota.firstReplica(),
                    quota.replicaCount(),
                    quota.usedUnits(),
                    wanted,
                    quota.ownDemandPerSecond(),
                    quota.open(),
                    freshFullness(now, quota),
                    wantsReply(now, owner, kept),
                    !quota.ceilingAdmits(wanted));
        }

        private OptionalDouble freshFullness(double now, CustomerQuota quota) {
            boolean fresh = ownership.decidesLocally(now, quota)
                    || quota.ownerReplyAgeMs(now) < AdmissionControl.REPLY_FRESH_MS;
            return fresh ? OptionalDouble.of(quota.fullness()) : OptionalDouble.empty();
        }

        private boolean wantsReply(double now, PeerState owner, ReplicatedQuota kept) {
            return ownership.decidingOwner(now, kept.quota(), 0) == owner.number()
                    || owner.isSilent(now)
                    || kept.isAsking(owner);
        }

        @Override
        public OwnerReply reply(double now, PeerState replicaPeer, ReplicatedQuota kept) {
            CustomerQuota quota = kept.quota();
            quotas.refill(now, quota);
            ReplicaState replica = kept.replica(replicaPeer);
            double theirDemand = replica.demandPerSecond(now);
            return new OwnerReply(
                    quota.customer(),
                    quota.planNumber(),
                    replica.bookedUnits(),
                    replica.grantedUnits(),
                    Math.max(0, quota.totalDemandPerSecond() - theirDemand),
                    quota.openAnywhere() - replica.openRequests(),
                    quota.fullness(),
                    ownership.isUncertain(now, quota),
                    quota.hasCeiling() ? OptionalDouble.of(replica.ceilingGiven()) : OptionalDouble.empty());
        }
    }
}
