package caperrudder.policy.gossip;

import caperrudder.api.PolicyActions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Counts, batches and sends the messages to other gateways within what these take in, and accepts those of theirs
 * that are new. What a message says of a customer is another's to decide.
 *
 * <p>Not thread-safe.
 */
final class GossipOutbox {
    private static final double INTAKE_SHARE = 0.8; // of a gateway's intake that is used: bursts fit in the rest
    private static final double BURST_MS = 150; // time's worth of messages that may leave at once
    private static final double LONGEST_GAP_MS = 50; // between messages to a peer, where it bounds them
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int MAX_ENTRIES =
            (MAX_MESSAGE_BYTES - QuotaMessageCodec.HEADER_BYTES) / QuotaMessageCodec.MAX_ENTRY_BYTES;
    private static final double MAX_CLOCK_SKEW_MS = 60_000; // an incarnation that begins later than this is none
    private static final double MS_PER_SECOND = 1000;

    /** Writes the entries of a message as it leaves. */
    interface EntryWriter {
        ReplicaReport report(double now, PeerState owner, ReplicatedQuota quota);

        OwnerReply reply(double now, PeerState replica, ReplicatedQuota quota);
    }

    private final int gatewayCount;
    private final PolicyActions actions;
    private final EntryWriter writer;
    private final double messagesPerMs;
    private final int incarnation;
    private final Deque<PeerState> queue = new ArrayDeque<>();
    private double allowance; // messages that may ask now
    private double refilledAt;

    /** @param intakePerSecond messages that a gateway takes in */
    GossipOutbox(double now, int gatewayCount, double intakePerSecond, PolicyActions actions, EntryWriter writer) {
        this.gatewayCount = gatewayCount;
        this.actions = actions;
        this.writer = writer;
        this.messagesPerMs = Math.max(1, intakePerSecond) * INTAKE_SHARE / MS_PER_SECOND;
        this.incarnation = incarnationAt(now);
        this.refilledAt = now;
    }

    /** The low 32 bits of a clock in milliseconds, which wrap around every 50 days. */
    private static int incarnationAt(double now) {
        return (int) (long) now;
    }

    /** This incarnation of the gateway, as its messages name it. */
    int incarnation() {
        return incarnation;
    }

    /** A report on a customer to one of its owners is due. */
    void queueReport(PeerState owner, ReplicatedQuota quota) {
        owner.dueReports().add(quota);
        enqueue(owner);
    }

    /** A reply on a customer to one of its replicas is due. */
    void queueReply(PeerState replica, ReplicatedQuota quota) {
        replica.dueReplies().add(quota);
        enqueue(replica);
    }

    private void enqueue(PeerState peer) {
        if (!peer.isQueued()) queue.addLast(peer);
        peer.setQueued(true);
    }

    /** Reports take half of the intake, since each may bring a reply; replies only keep the shortest gap. */
    void flush(double now) {
        allowance = Math.min(Math.max(1, messagesPerMs * BURST_MS), allowance + (now - refilledAt) * messagesPerMs / 2);
        refilledAt = now;
        double gapMs = Math.min(LONGEST_GAP_MS, (gatewayCount - 1) / messagesPerMs);
        for (PeerState peer : new ArrayList<>(queue)) {
            boolean asksOnly = peer.dueReplies().isEmpty();
            if (peer.sinceSentMs(now) < gapMs || (asksOnly && allowance < 1)) continue;
            if (asksOnly) allowance -= 1;
            send(now, peer);
            if (peer.hasDue()) continue;
            queue.remove(peer);
            peer.setQueued(false);
        }
    }

    private void send(double now, PeerState peer) {
        List<QuotaEntry> entries = new ArrayList<>();
        peer.nextSerial();
        writeReplies(now, peer, entries);
        writeReports(now, peer, entries);
        peer.sent(now);
        QuotaMessage message =
                new QuotaMessage(incarnation, peer.incarnation(), peer.sentSerial(), peer.receivedSerial(), entries);
        actions.sendToPeer(peer.number(), QuotaMessageCodec.encode(message));
    }

    private void writeReplies(double now, PeerState peer, List<QuotaEntry> entries) {
        Iterator<ReplicatedQuota> due = peer.dueReplies().iterator();
        while (due.hasNext() && entries.size() < MAX_ENTRIES) {
            entries.add(writer.reply(now, peer, due.next()));
            due.remove();
        }
    }

    private void writeReports(double now, PeerState peer, List<QuotaEntry> entries) {
        Iterator<ReplicatedQuota> due = peer.dueReports().iterator();
        while (due.hasNext() && entries.size() < MAX_ENTRIES) {
            entries.add(writer.report(now, peer, due.next()));
            due.remove();
        }
    }

    /** Notes a message of a peer; false for one overtaken on the way, sent twice or of another incarnation. */
    boolean accept(double now, PeerState peer, QuotaMessage message) {
        // An incarnation that has yet to begin would make all that its sender says from now on seem late.
        boolean fromFuture = message.senderIncarnation() - incarnationAt(now) > MAX_CLOCK_SKEW_MS;
        if (fromFuture || !peer.isNews(message)) return false;
        peer.received(message);
        return true;
    }
}
