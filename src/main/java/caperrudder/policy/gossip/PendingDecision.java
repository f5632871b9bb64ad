package caperrudder.policy.gossip;

import caperrudder.policy.quota.CustomerQuota;

/**
 * The outstanding decision of an owner on a request that uses its customer's quota.
 *
 * <p>Not thread-safe.
 */
public final class PendingDecision {
    private final CustomerQuota quota;
    private final UndecidedRequest request;
    private int ownerRank;
    private int owner;
    private int reportSerial; // of the message that asks the owner
    private double replyDueAtMs;

    /** @param request the request to decide, which is notified of the decision */
    public PendingDecision(CustomerQuota quota, UndecidedRequest request) {
        this.quota = quota;
        this.request = request;
    }

    CustomerQuota quota() {
        return quota;
    }

    UndecidedRequest request() {
        return request;
    }

    /** Returns the units of the quota that the request uses. */
    double units() {
        return request.units();
    }

    /** Assigns the decision to an owner. The report that asks for it has the next serial at the earliest. */
    void assignTo(PeerState peer, int rank, double replyDueAt) {
        ownerRank = rank;
        owner = peer.number();
        reportSerial = peer.lastSentSerial() + 1;
        replyDueAtMs = replyDueAt;
    }

    /** Returns the rank of the owner that the decision is assigned to. */
    int ownerRank() {
        return ownerRank;
    }

    /** Returns the gateway number of the owner that the decision is assigned to. */
    int owner() {
        return owner;
    }

    boolean isAssignedTo(PeerState peer) {
        return owner == peer.number();
    }

    /** Records the serial of the message with the report that asks the owner for the decision. */
    void recordReportSerial(int serial) {
        reportSerial = serial;
    }

    /** Returns whether the report that asks the owner was sent with or before the message of the given serial. */
    boolean wasReportedUpTo(int acknowledgedSerial) {
        return !SerialArithmetic.isAfter(reportSerial, acknowledgedSerial);
    }

    /** Returns whether the reply deadline has passed. */
    boolean isReplyOverdue(double now) {
        return now >= replyDueAtMs;
    }

    /** Returns whether the reply can be awaited no longer: it is overdue, or the request must be decided now. */
    boolean isWaitOver(double now) {
        return isReplyOverdue(now) || now >= request.decisionDueAtMs();
    }

    /** Postpones the reply deadline by {@code ms} milliseconds. */
    void extendReplyDeadline(double ms) {
        replyDueAtMs += ms;
    }
}
