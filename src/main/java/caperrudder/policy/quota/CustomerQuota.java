package caperrudder.policy.quota;

import caperrudder.api.Plan;
import caperrudder.api.QuotaSnapshot;

/**
 * One customer's quota as this gateway keeps it: identity, buckets, demand, and what owners and the meter reported.
 * The plan and the replica set that came first stand as long as the customer is remembered. Levels are units; the
 * buckets are as of the last refill.
 *
 * <p>Not thread-safe.
 */
public final class CustomerQuota {
    private static final double MS_PER_SECOND = 1000;

    private final long customer;
    private final int planNumber;
    private final Plan plan;
    private final int firstReplica;
    private final int[] owners;
    private final int replicaCount;
    private final TokenBucket local; // this gateway's own share
    private final TokenBucket shared; // of the replica set: as its owner what is booked, else the most it can hold
    private final CeilingBucket ceiling;
    private final ConcurrencyQuota concurrency;
    private final MeteredUse meter;
    private final DemandEstimate demand = new DemandEstimate();
    private double refilledAt;
    private double usedUnits; // running total
    private double restoredUnits = Double.NEGATIVE_INFINITY; // of the process before, charged here already
    private double ownerRepliedAt = Double.NEGATIVE_INFINITY;
    private boolean informed; // as an owner: knows what was used before its start

    /** What a new quota begins with. */
    record Initial(double localTokens, CeilingBucket ceiling, ConcurrencyQuota concurrency, double now) {}

    CustomerQuota(
            long customer,
            int planNumber,
            Plan plan,
            int firstReplica,
            int replicaCount,
            int[] owners,
            Initial initial) {
        this.customer = customer;
        this.planNumber = planNumber;
        this.plan = plan;
        this.firstReplica = firstReplica;
        this.replicaCount = replicaCount;
        this.owners = owners;
        this.ceiling = initial.ceiling();
        this.concurrency = initial.concurrency();
        this.refilledAt = initial.now();
        this.meter = new MeteredUse(plan, replicaCount);
        double burst = plan.burstUnits();
        this.shared = new TokenBucket(-burst, burst, burst);
        this.local = new TokenBucket(-burst / replicaCount, Double.POSITIVE_INFINITY, initial.localTokens());
    }

    public long customer() {
        return customer;
    }

    /** Index of the plan in the settings. */
    public int planNumber() {
        return planNumber;
    }

    public Plan plan() {
        return plan;
    }

    /** Number of the first gateway of the replica set. */
    public int firstReplica() {
        return firstReplica;
    }

    /** Gateways that may receive the customer's requests, at least 1. */
    public int replicaCount() {
        return replicaCount;
    }

    public int ownerCount() {
        return owners.length;
    }

    /** The gateway that stands at a rank, from 0, among the quota's owners. */
    public int owner(int rank) {
        return owners[rank];
    }

    public boolean isOwner(int gateway) {
        for (int owner : owners) {
            if (owner == gateway) return true;
        }
        return false;
    }

    DemandEstimate demand() {
        return demand;
    }

    ConcurrencyQuota concurrency() {
        return concurrency;
    }

    MeteredUse meter() {
        return meter;
    }

    CeilingBucket ceiling() {
        return ceiling;
    }

    boolean hasRate() {
        return plan.unitsPerSecond() > 0;
    }

    // ---- time

    double refilledAt() {
        return refilledAt;
    }

    /** The last use lies further back than the quota's creation, as a snapshot says. */
    void lastUsedAt(double at) {
        refilledAt = at;
    }

    double idleMs(double now) {
        return now - refilledAt;
    }

    /**
     * Fills the buckets and lets averages fade up to now.
     *
     * @param share of the demand that comes to this gateway, 0 to 1, as of before
     * @param localCapacity units that the local bucket holds with that share
     */
    void refill(double now, double share, double localCapacity) {
        double elapsedMs = now - refilledAt;
        double seconds = elapsedMs / MS_PER_SECOND;
        double fade = DemandEstimate.fadeOver(elapsedMs);
        refilledAt = now;
        demand.fade(fade);
        meter.fade(fade);
        concurrency.fade(fade);
        shared.refill(plan.unitsPerSecond() * seconds);
        meter.refill(now, seconds);
        local.refill(share * plan.unitsPerSecond() * seconds, localCapacity);
        ceiling.refill(seconds);
    }

    // ---- requests

    /** A request was admitted; it is expected to be open so long. */
    public void admitted(double now, double units, double expectedMs) {
        concurrency.opened(now, expectedMs);
        charge(units);
        ceiling.reserve(units);
    }

    /** The first attempt for an admitted request left for a host. */
    public void sent(double units) {
        ceiling.sent(units);
    }

    /** An admitted request has ended. */
    public void closed() {
        concurrency.closed();
    }

    /** An admitted request ended without having been sent whole: its units are given back. */
    public void giveBack(double units) {
        charge(-units);
        ceiling.reserve(-units);
    }

    /** Takes units from the quota, or gives them back where negative. */
    public void charge(double units) {
        local.take(units);
        shared.take(units);
        meter.charge(units);
        usedUnits += units;
    }

    /** Time until the shared bucket holds so many units, or until a further request may be admitted. */
    public double retryAfterMs(double now, double units) {
        return hasRate()
                ? MS_PER_SECOND * (units - shared.level()) / plan.unitsPerSecond()
                : concurrency.nextAdmissionInMs(now);
    }

    boolean localHolds(double units) {
        return local.level() >= units;
    }

    boolean sharedHolds(double units) {
        return shared.level() >= units;
    }

    /** Whether the shared bucket holds so many units beside a reserve. */
    boolean sharedHolds(double units, double reserve) {
        return shared.level() - reserve >= units;
    }

    /**
     * Whether the request may be admitted without an owner's decision: by the shared bucket where this gateway decides
     * for all, else by its own share.
     */
    public boolean admitsUndecided(double units, boolean decidesForAll) {
        TokenBucket bucket = decidesForAll ? shared : local;
        return (!hasRate() || bucket.level() >= units) && ceiling.admits(units);
    }

    // ---- what replicas and owners inform each other of

    /** Units used here so far, as a running total. */
    public double usedUnits() {
        return usedUnits;
    }

    /** Units per second that are demanded at this gateway. */
    public double ownDemandPerSecond() {
        return demand.own();
    }

    /** Units per second that are demanded anywhere. */
    public double totalDemandPerSecond() {
        return demand.total();
    }

    /** Requests open at this gateway. */
    public int open() {
        return concurrency.open();
    }

    /** Requests open anywhere. */
    public int openAnywhere() {
        return concurrency.open() + concurrency.openAtOthers();
    }

    /** Level of the shared bucket as a share of its capacity; 1 where it has none. */
    public double fullness() {
        return plan.burstUnits() > 0 ? shared.level() / plan.burstUnits() : 1;
    }

    public boolean hasCeiling() {
        return ceiling.isLimited();
    }

    /** Whether this gateway's share of the ceiling holds so many units; true where there is no ceiling. */
    public boolean ceilingAdmits(double units) {
        return ceiling.admits(units);
    }

    /** Whether this gateway, as an owner, knows what was used before its start. */
    public boolean isInformed() {
        return informed;
    }

    /** Age of the last reply of an owner; infinite where there is none. */
    public double ownerReplyAgeMs(double now) {
        return now - ownerRepliedAt;
    }

    /** Another gateway's view of the shared bucket is taken over; where asked for, only if it is lower. */
    public void adoptFullness(double fullness, boolean onlyIfLower) {
        double most = onlyIfLower ? shared.level() : plan.burstUnits();
        shared.setLevel(Math.min(most, fullness * plan.burstUnits()));
        informed = true;
    }

    /** An owner replied with what it booked and what it knows of the others. */
    public void ownerReplied(double now, double othersDemand, int othersOpen, double sharedLevel) {
        demand.setOthers(othersDemand);
        concurrency.setOpenAtOthers(othersOpen);
        ownerRepliedAt = now;
        informed = true;
        shared.setLevel(sharedLevel);
    }

    /** As an owner: a replica's demand was so much and now is another. */
    public void replicaDemandChanged(double newPerSecond, double oldPerSecond) {
        demand.replaceOthers(newPerSecond, oldPerSecond);
    }

    /** As an owner: a replica has so many more requests open, or fewer where negative. */
    public void replicaOpenChanged(int more) {
        concurrency.addOpenAtOthers(more);
    }

    /** As an owner: books units that a replica used, or gave back where negative. */
    public void book(double units) {
        shared.take(units);
    }

    public boolean canGrant(double units) {
        return !hasRate() || shared.level() >= units;
    }

    /** As an owner: takes units that were granted to a replica. */
    public void grant(double units) {
        shared.takeUnchecked(units);
    }

    /** As an owner: hands ceiling units to a replica. */
    public void handOverCeiling(double units) {
        ceiling.handOver(units);
    }

    /** Ceiling units come from an owner, reported as running totals. */
    public void receiveCeiling(double givenInAll, double takenBefore) {
        ceiling.receive(givenInAll, takenBefore);
    }

    // ---- snapshot

    QuotaSnapshot snapshot() {
        return new QuotaSnapshot(
                customer,
                plan.name(),
                firstReplica,
                replicaCount,
                shared.level(),
                local.level(),
                meter.level(),
                demand.own(),
                usedUnits,
                meter.ownPerSecond(),
                meter.lastShare(),
                meter.reportedAt(),
                meter.othersPerSecond());
    }

    /** Whether a snapshot of the process before this one was taken over already. */
    boolean isRestored() {
        return restoredUnits > Double.NEGATIVE_INFINITY;
    }

    /**
     * Takes over what the process before this one left. What both processes count from a full bucket is in the
     * other's snapshot alone, so what was used here is taken off.
     */
    void restore(double now, QuotaSnapshot saved, double usedHere) {
        shared.restore(saved.sharedLevel(), usedHere);
        local.setLevel(Math.min(plan.burstUnits(), saved.localTokens()) - usedHere);
        demand.addOwn(saved.demandPerSecond());
        meter.restore(now, saved, usedHere);
        informed = true;
    }

    /** Charges what the process before this one used since it was last heard of. */
    void chargeRestoredUse(QuotaSnapshot saved) {
        charge(Math.max(0, saved.usedUnits() - restoredUnits));
    }

    /** So much of the other process's use is now counted here. */
    void noteRestoredUse(QuotaSnapshot saved) {
        restoredUnits = Math.max(restoredUnits, saved.usedUnits());
    }
}
