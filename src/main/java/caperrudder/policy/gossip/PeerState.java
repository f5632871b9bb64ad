package caperrudder.policy.gossip;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The state of a peer gateway: serials, incarnation, responsiveness, and the quotas to report or reply about.
 *
 * <p>Not thread-safe.
 */
final class PeerState {
    private final int number;
    private final Set<ReplicatedQuota> dueReports = new LinkedHashSet<>(); // the peer is an owner
    private final Set<ReplicatedQuota> dueReplies = new LinkedHashSet<>(); // this gateway is an owner
    private boolean queued;
    private boolean hasSentMessage;
    private int incarnation;
    private int lastSentSerial;
    private int lastReceivedSerial;
    private double lastSentAtMs = Double.NEGATIVE_INFINITY;
    private double unresponsiveUntilMs = Double.NEGATIVE_INFINITY;

    PeerState(int number) {
        this.number = number;
    }

    /** Returns the peer's gateway number. */
    int number() {
        return number;
    }

    /** Returns the incarnation of the peer's last accepted message; 0 before the first. */
    int incarnation() {
        return incarnation;
    }

    /** Returns the serial of the last message sent to the peer; 0 before the first. */
    int lastSentSerial() {
        return lastSentSerial;
    }

    /** Returns the serial of the last message accepted from the peer; 0 before the first. */
    int lastReceivedSerial() {
        return lastReceivedSerial;
    }

    /** Returns the time since the last message was sent to the peer; infinite if none was. */
    double timeSinceSentMs(double now) {
        return now - lastSentAtMs;
    }

    /** Returns whether the peer recently failed to reply in time, so that it is not asked for decisions. */
    boolean isUnresponsive(double now) {
        return now < unresponsiveUntilMs;
    }

    /** Marks the peer as unresponsive until the given time, or until a message from it is accepted. */
    void markUnresponsiveUntil(double untilMs) {
        unresponsiveUntilMs = untilMs;
    }

    /** Returns whether a message is later than the last one accepted from the peer, by incarnation and serial. */
    boolean isNewerThanLast(QuotaMessage message) {
        if (!hasSentMessage) return true;
        return message.senderIncarnation() == incarnation
                ? SerialArithmetic.isAfter(message.serial(), lastReceivedSerial)
                : !SerialArithmetic.isOlder(message.senderIncarnation(), incarnation);
    }

    /** Records an accepted message: the peer's incarnation, its serial, and that the peer is responsive. */
    void recordReceived(QuotaMessage message) {
        hasSentMessage = true;
        incarnation = message.senderIncarnation();
        lastReceivedSerial = message.serial();
        unresponsiveUntilMs = Double.NEGATIVE_INFINITY;
    }

    /** Assigns the next serial to a message to the peer. Must be called before the message's entries are created. */
    void advanceSerial() {
        lastSentSerial++;
    }

    /** Records the time at which a message was sent to the peer. */
    void recordSent(double now) {
        lastSentAtMs = now;
    }

    /** Returns the quotas to report to the peer, which owns them. Callers may modify the set. */
    Set<ReplicatedQuota> dueReports() {
        return dueReports;
    }

    /** Returns the quotas to reply about to the peer, a replica. Callers may modify the set. */
    Set<ReplicatedQuota> dueReplies() {
        return dueReplies;
    }

    /** Returns whether a report or a reply to the peer is due. */
    boolean hasDueEntries() {
        return !dueReports.isEmpty() || !dueReplies.isEmpty();
    }

    /** Returns whether the peer is in the outbox's queue. */
    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean isQueued) {
        queued = isQueued;
    }
}
