package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;

/**
 * A request that awaits the decision of an owner of its customer's quota.
 *
 * <p>Not thread-safe.
 */
public final class OwnerRequest {
    private final CustomerQuota quota;
    private final QuotaApplicant applicant;
    private int ownerRank;
    private int owner;
    private int reportSerial; // of the message that asks the owner
    private double replyDueAtMs;

    /** @param applicant the request to decide, which is notified of the decision */
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

    /** Returns the units of the quota that the request uses. */
    double units() {
        return applicant.units();
    }

    /** Assigns the request to an owner. The report that asks for it has the next serial at the earliest. */
    void ask(PeerState peer, int rank, double replyDueAt) {
        ownerRank = rank;
        owner = peer.number();
        reportSerial = peer.sentSerial() + 1;
        replyDueAtMs = replyDueAt;
    }

    /** Returns the rank of the owner that was asked last. */
    int ownerRank() {
        return ownerRank;
    }

    /** Returns the gateway number of the owner that was asked last. */
    int owner() {
        return owner;
    }

    boolean isAskedOf(PeerState peer) {
        return owner == peer.number();
    }

    /** Records the serial of the message that asks the owner for the decision. */
    void askedBy(int serial) {
        reportSerial = serial;
    }

    /** Returns whether the owner had read the message that asks it when it acknowledged the given serial. */
    boolean isAskedBy(int acknowledgedSerial) {
        return !SerialArithmetic.isAfter(reportSerial, acknowledgedSerial);
    }

    /** Returns whether the time to reply has passed. */
    boolean isReplyMissing(double now) {
        return now >= replyDueAtMs;
    }

    /** Extends the time to reply. */
    void postponeReply(double ms) {
        replyDueAtMs += ms;
    }
}
