package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;

/**
 * A request held for the reply of an owner of its customer's quota.
 *
 * <p>Not thread-safe.
 */
public final class OwnerRequest {
    private final CustomerQuota quota;
    private final QuotaApplicant applicant;
    private int ownerRank;
    private int owner;
    private int messageSerial; // of the message that asks
    private double replyDueAt;

    /** @param applicant is notified of the decision */
    public OwnerRequest(CustomerQuota quota, QuotaApplicant applicant) {
        this.quota = quota;
        this.applicant = applicant;
    }

    CustomerQuota quota() {
        return quota;
    }

    QuotaApplicant applicant() {
        return applicant;
    }

    double units() {
        return applicant.units();
    }

    /** An owner of this rank is asked; the next message to it will say so. */
    void ask(PeerState peer, int rank, double replyDueTime) {
        ownerRank = rank;
        owner = peer.number();
        messageSerial = peer.sentSerial() + 1; // the last message did not ask for it
        replyDueAt = replyDueTime;
    }

    int ownerRank() {
        return ownerRank;
    }

    int owner() {
        return owner;
    }

    boolean isAskedOf(PeerState peer) {
        return owner == peer.number();
    }

    void askedBy(int serial) {
        messageSerial = serial;
    }

    /** Whether the message that asks was sent no later than this one. */
    boolean isAskedBy(int acknowledgedSerial) {
        return !SerialArithmetic.isAfter(messageSerial, acknowledgedSerial);
    }

    boolean isReplyMissing(double now) {
        return now >= replyDueAt;
    }

    void postponeReply(double ms) {
        replyDueAt += ms;
    }
}
