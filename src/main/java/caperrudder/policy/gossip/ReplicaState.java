package caperrudder.policy.gossip;

import caperrudder.policy.quota.DemandEstimate;

/**
 * What this gateway and one peer know of each other's use of one customer's quota, as owner and as replica; it starts
 * anew with each incarnation of the peer.
 *
 * <p>Not thread-safe.
 */
final class ReplicaState {
    private final int incarnation;
    private boolean reported;
    private double bookedUnits; // of the replica's running total, with what was granted
    private double grantedUnits; // on its last report
    private double demandPerSecond;
    private double demandAt;
    private int openRequests;
    private double ceilingGiven; // to the peer, as a running total
    private double ceilingTaken; // from the peer, as a running total

    ReplicaState(int incarnation) {
        this.incarnation = incarnation;
    }

    int incarnation() {
        return incarnation;
    }

    double bookedUnits() {
        return bookedUnits;
    }

    double grantedUnits() {
        return grantedUnits;
    }

    int openRequests() {
        return openRequests;
    }

    double ceilingGiven() {
        return ceilingGiven;
    }

    double ceilingTaken() {
        return ceilingTaken;
    }

    /** Units per second demanded at the replica, faded since it reported them. */
    double demandPerSecond(double now) {
        return demandPerSecond * DemandEstimate.fadeOver(now - demandAt);
    }

    void demandReported(double now, double perSecond) {
        demandPerSecond = perSecond;
        demandAt = now;
    }

    void openReported(int requests) {
        openRequests = requests;
    }

    /**
     * Units that the replica used beyond those booked; negative where it gives back. Given back is at most what was
     * granted or open. A count that falls further began anew, since its sender had forgotten the customer, and would
     * fill the bucket.
     *
     * @param usedUnits its running total
     * @param maxUnits most units of a request
     */
    double unbookedUnits(double usedUnits, double maxUnits) {
        double mostGivenBack = grantedUnits + openRequests * maxUnits;
        return reported ? Math.max(-mostGivenBack, SerialArithmetic.unitsAhead(usedUnits, bookedUnits)) : 0;
    }

    /** The replica's running total is booked with what it was granted beside. */
    void book(double usedUnits, double granted) {
        reported = true;
        grantedUnits = granted;
        bookedUnits = usedUnits + granted;
    }

    void gaveCeiling(double units) {
        ceilingGiven += units;
    }

    void tookCeiling(double givenInAll) {
        ceilingTaken = givenInAll;
    }
}
