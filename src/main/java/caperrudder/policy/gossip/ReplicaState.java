package caperrudder.policy.gossip;

import caperrudder.policy.quota.DemandEstimate;

/**
 * What this gateway records about one peer's use of a customer's quota, in the roles of owner and of replica. It is
 * replaced by an empty state when the peer starts a new incarnation.
 *
 * <p>Not thread-safe.
 */
final class ReplicaState {
    private final int incarnation;
    private boolean hasBooked;
    private double bookedUnits; // the replica's running total of used units, including the granted units
    private double grantedUnits; // in response to its last report
    private double demandPerSecond;
    private double demandReportedAtMs;
    private int openRequests;
    private double ceilingGiven; // running total of units given to the peer
    private double ceilingTaken; // running total of units received from the peer

    ReplicaState(int incarnation) {
        this.incarnation = incarnation;
    }

    int incarnation() {
        return incarnation;
    }

    /** Returns the replica's running total of used units as booked, including the granted units. */
    double bookedUnits() {
        return bookedUnits;
    }

    /** Returns the units granted in response to the replica's last report. */
    double grantedUnits() {
        return grantedUnits;
    }

    /** Returns the number of requests open at the replica as of its last report. */
    int openRequests() {
        return openRequests;
    }

    /** Returns the running total of ceiling units given to the peer. */
    double ceilingGiven() {
        return ceilingGiven;
    }

    /** Returns the running total of ceiling units received from the peer. */
    double ceilingTaken() {
        return ceilingTaken;
    }

    /** Returns the units per second demanded at the replica, decayed since its last report. */
    double demandPerSecond(double now) {
        return demandPerSecond * DemandEstimate.decayFactor(now - demandReportedAtMs);
    }

    /** Records the reported demand of the replica. */
    void demandReported(double now, double perSecond) {
        demandPerSecond = perSecond;
        demandReportedAtMs = now;
    }

    /** Records the reported number of open requests at the replica. */
    void openReported(int requests) {
        openRequests = requests;
    }

    /**
     * Returns the units that the replica used in addition to those booked, negative if it refunded units; 0 before the
     * first report is booked. A refund is limited to the units that were granted or may be in use by open requests. A
     * running total that drops further was restarted by a replica that had forgotten the customer, and would fill the
     * bucket.
     *
     * @param usedUnits the replica's running total of used units
     * @param maxUnits maximum units of a request
     */
    double unbookedUnits(double usedUnits, double maxUnits) {
        double maxRefundUnits = grantedUnits + openRequests * maxUnits;
        return hasBooked ? Math.max(-maxRefundUnits, SerialArithmetic.unitsAhead(usedUnits, bookedUnits)) : 0;
    }

    /** Books the replica's running total and the units granted in addition. */
    void book(double usedUnits, double granted) {
        hasBooked = true;
        grantedUnits = granted;
        bookedUnits = usedUnits + granted;
    }

    /** Adds ceiling units given to the peer. */
    void gaveCeiling(double units) {
        ceilingGiven += units;
    }

    /** Records the running total of ceiling units received from the peer. */
    void tookCeiling(double totalUnits) {
        ceilingTaken = totalUnits;
    }
}
