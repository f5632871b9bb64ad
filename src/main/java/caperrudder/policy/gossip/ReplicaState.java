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
    private boolean hasRecordedCharge;
    private double chargedUnits; // the replica's running total of used units, including the granted units
    private double grantedUnits; // in response to its last report
    private double demandPerSecond;
    private double demandReportedAtMs;
    private int openRequests;
    private double ceilingUnitsGranted; // running total for the peer
    private double ceilingUnitsReceived; // running total from the peer

    ReplicaState(int incarnation) {
        this.incarnation = incarnation;
    }

    int incarnation() {
        return incarnation;
    }

    /** Returns the replica's running total of used units as charged, including the granted units. */
    double chargedUnits() {
        return chargedUnits;
    }

    /** Returns the units granted in response to the replica's last report. */
    double grantedUnits() {
        return grantedUnits;
    }

    /** Returns the number of requests open at the replica as of its last report. */
    int openRequests() {
        return openRequests;
    }

    /** Returns the running total of ceiling units granted to the peer. */
    double ceilingUnitsGranted() {
        return ceilingUnitsGranted;
    }

    /** Returns the running total of ceiling units received from the peer. */
    double ceilingUnitsReceived() {
        return ceilingUnitsReceived;
    }

    /** Returns the units per second demanded at the replica, decayed since its last report. */
    double demandPerSecond(double now) {
        return demandPerSecond * DemandEstimate.decayFactor(now - demandReportedAtMs);
    }

    /** Records the reported demand of the replica. */
    void recordDemand(double now, double perSecond) {
        demandPerSecond = perSecond;
        demandReportedAtMs = now;
    }

    /** Records the reported number of open requests at the replica. */
    void recordOpenRequests(int requests) {
        openRequests = requests;
    }

    /**
     * Returns the units that the replica used in addition to those charged, negative if it refunded units; 0 before the
     * first report is charged. A refund is limited to the units that were granted or may be in use by open requests. If
     * the running total drops by more, the replica has forgotten the customer and started a new total. Refunding the
     * whole difference would fill the bucket.
     *
     * @param usedUnits the replica's running total of used units
     * @param maxUnits maximum units of a request
     */
    double unchargedUnits(double usedUnits, double maxUnits) {
        double maxRefundUnits = grantedUnits + openRequests * maxUnits;
        return hasRecordedCharge ? Math.max(-maxRefundUnits, SerialArithmetic.unitsAhead(usedUnits, chargedUnits)) : 0;
    }

    /** Records that the replica's running total was charged, and the units granted in addition. */
    void recordCharge(double usedUnits, double granted) {
        hasRecordedCharge = true;
        grantedUnits = granted;
        chargedUnits = usedUnits + granted;
    }

    /** Adds ceiling units granted to the peer. */
    void addCeilingUnitsGranted(double units) {
        ceilingUnitsGranted += units;
    }

    /** Records the running total of ceiling units received from the peer. */
    void setCeilingUnitsReceived(double totalUnits) {
        ceilingUnitsReceived = totalUnits;
    }
}
