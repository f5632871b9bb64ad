package caperrudder.policy.gossip;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What is known of a peer gateway, and what waits to be sent to it.
 *
 * <p>Not thread-safe.
 */
final class PeerState {
    private final int number;
    private final Set<ReplicatedQuota> dueReports = new LinkedHashSet<>(); // to it as an owner
    private final Set<ReplicatedQuota> dueReplies = new LinkedHashSet<>(); // to it by this gateway as an owner
    private boolean queued;
    private boolean met;
    private int incarnation;
    private int sentSerial;
    private int receivedSerial;
    private double sentAt = Double.NEGATIVE_INFINITY;
    private double silentUntil = Double.NEGATIVE_INFINITY;

    PeerState(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    /** The peer's present incarnation, by the time of its start; 0 before its first message. */
    int incarnation() {
        return incarnation;
    }

    /** Number of the last message to it. */
    int sentSerial() {
        return sentSerial;
    }

    /** Number of the last message from it. */
    int receivedSerial() {
        return receivedSerial;
    }

    double sinceSentMs(double now) {
        return now - sentAt;
    }

    /** Whether it missed a reply of late, and is passed over. */
    boolean isSilent(double now) {
        return now < silentUntil;
    }

    void silentUntil(double at) {
        silentUntil = at;
    }

    /** Whether a message came in time and for the first time, as far as the one before it shows. */
    boolean isNews(QuotaMessage message) {
        if (!met) return true;
        return message.senderIncarnation() == incarnation
                ? SerialArithmetic.isAfter(message.serial(), receivedSerial)
                : !SerialArithmetic.isOlder(message.senderIncarnation(), incarnation);
    }

    void received(QuotaMessage message) {
        met = true;
        incarnation = message.senderIncarnation();
        receivedSerial = message.serial();
        silentUntil = Double.NEGATIVE_INFINITY;
    }

    /** Counts a message to it, before its entries are written. */
    void nextSerial() {
        sentSerial++;
    }

    void sent(double now) {
        sentAt = now;
    }

    Set<ReplicatedQuota> dueReports() {
        return dueReports;
    }

    Set<ReplicatedQuota> dueReplies() {
        return dueReplies;
    }

    boolean hasDue() {
        return !dueReports.isEmpty() || !dueReplies.isEmpty();
    }

    /** Whether it stands in the outbox's queue. */
    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean isQueued) {
        queued = isQueued;
    }
}
