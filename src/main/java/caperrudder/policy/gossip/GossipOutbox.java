package caperrudder.policy.gossip;

import caperrudder.api.PolicyActions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Numbers, batches and sends the messages to other gateways within the rate that they accept, and filters out received
 * messages that are outdated. The entries of the messages are created by an {@link EntryFactory}.
 *
 * <p>Not thread-safe.
 */
final class GossipOutbox {
    private static final double ACCEPTED_RATE_SHARE = 0.8; // the rest is left for bursts
    private static final double MAX_ALLOWANCE_MS = 150; // time over which unused allowance accumulates
    private static final double MAX_SEND_INTERVAL_MS = 50; // cap on the minimum interval between messages to a peer
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int MAX_ENTRIES_PER_MESSAGE =
            (MAX_MESSAGE_BYTES - QuotaMessageCodec.HEADER_BYTES) / QuotaMessageCodec.MAX_ENTRY_BYTES;
    private static final double MAX_CLOCK_SKEW_MS = 60_000;
    private static final double MS_PER_SECOND = 1000;

    /** Creates the entries of a message when it is sent. */
    interface EntryFactory {
        /** Returns a report on a quota to one of its owners. */
        ReplicaReport createReport(double now, PeerState owner, ReplicatedQuota quota);

        /** Returns a reply about a quota to one of its replicas. */
        OwnerReply createReply(double now, PeerState replica, ReplicatedQuota quota);
    }

    private final int gatewayCount;
    private final PolicyActions actions;
    private final EntryFactory entryFactory;
    private final double messagesPerMs;
    private final int incarnation;
    private final Deque<PeerState> queue = new ArrayDeque<>();
    private double reportAllowance; // messages without replies that may be sent now
    private double allowanceRefilledAtMs;

    /** @param acceptedPerSecond messages per second that a gateway accepts from all others */
    GossipOutbox(
            double now, int gatewayCount, double acceptedPerSecond, PolicyActions actions, EntryFactory entryFactory) {
        this.gatewayCount = gatewayCount;
        this.actions = actions;
        this.entryFactory = entryFactory;
        this.messagesPerMs = Math.max(1, acceptedPerSecond) * ACCEPTED_RATE_SHARE / MS_PER_SECOND;
        this.incarnation = incarnationAt(now);
        this.allowanceRefilledAtMs = now;
    }

    /** Returns the low 32 bits of a time in milliseconds, which wrap around every 50 days. */
    private static int incarnationAt(double now) {
        return (int) (long) now;
    }

    /** Returns this gateway's incarnation: the low 32 bits of its start time in milliseconds. */
    int incarnation() {
        return incarnation;
    }

    /** Queues a report on a quota to one of its owners. */
    void queueReport(PeerState owner, ReplicatedQuota quota) {
        owner.dueReports().add(quota);
        enqueue(owner);
    }

    /** Queues a reply about a quota to one of its replicas. */
    void queueReply(PeerState replica, ReplicatedQuota quota) {
        replica.dueReplies().add(quota);
        enqueue(replica);
    }

    private void enqueue(PeerState peer) {
        if (!peer.isQueued()) queue.addLast(peer);
        peer.setQueued(true);
    }

    /**
     * Sends one message to each queued peer whose minimum interval has passed. Messages without replies are limited to
     * half of the rate, since each may cause a reply. Messages with replies are limited by the interval alone.
     */
    void flush(double now) {
        reportAllowance = Math.min(
                Math.max(1, messagesPerMs * MAX_ALLOWANCE_MS),
                reportAllowance + (now - allowanceRefilledAtMs) * messagesPerMs / 2);
        allowanceRefilledAtMs = now;
        double sendIntervalMs = Math.min(MAX_SEND_INTERVAL_MS, (gatewayCount - 1) / messagesPerMs);
        for (PeerState peer : new ArrayList<>(queue)) {
            boolean hasNoReplies = peer.dueReplies().isEmpty();
            if (peer.timeSinceSentMs(now) < sendIntervalMs || (hasNoReplies && reportAllowance < 1)) continue;
            if (hasNoReplies) reportAllowance -= 1;
            send(now, peer);
            if (peer.hasDueEntries()) continue;
            queue.remove(peer);
            peer.setQueued(false);
        }
    }

    private void send(double now, PeerState peer) {
        List<QuotaEntry> entries = new ArrayList<>();
        peer.advanceSerial();
        addReplies(now, peer, entries);
        addReports(now, peer, entries);
        peer.recordSent(now);
        QuotaMessage message = new QuotaMessage(
                incarnation, peer.incarnation(), peer.lastSentSerial(), peer.lastReceivedSerial(), entries);
        actions.sendToPeer(peer.number(), QuotaMessageCodec.encode(message));
    }

    private void addReplies(double now, PeerState peer, List<QuotaEntry> entries) {
        Iterator<ReplicatedQuota> due = peer.dueReplies().iterator();
        while (due.hasNext() && entries.size() < MAX_ENTRIES_PER_MESSAGE) {
            entries.add(entryFactory.createReply(now, peer, due.next()));
            due.remove();
        }
    }

    private void addReports(double now, PeerState peer, List<QuotaEntry> entries) {
        Iterator<ReplicatedQuota> due = peer.dueReports().iterator();
        while (due.hasNext() && entries.size() < MAX_ENTRIES_PER_MESSAGE) {
            entries.add(entryFactory.createReport(now, peer, due.next()));
            due.remove();
        }
    }

    /**
     * Records a received message in its sender's state. Returns false without recording it if it is a duplicate, if a
     * later one was accepted before, or if its incarnation is in the future.
     */
    boolean accept(double now, PeerState peer, QuotaMessage message) {
        // If accepted, a future incarnation would make all messages of the sender's real incarnation look outdated.
        boolean isFromFuture = message.senderIncarnation() - incarnationAt(now) > MAX_CLOCK_SKEW_MS;
        if (isFromFuture || !peer.isNewerThanLast(message)) return false;
        peer.recordReceived(message);
        return true;
    }
}
