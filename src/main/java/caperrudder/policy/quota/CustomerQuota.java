package caperrudder.policy.quota;

import caperrudder.api.Plan;
import caperrudder.api.QuotaSnapshot;

/**
 * One customer's quota as this gateway keeps it: plan, replica set, buckets, demand, and what owners and the meter
 * reported. The plan and the replica set are those of the customer's first request and do not change. Levels are in
 * units, as of the last refill.
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
    private final TokenBucket shared; // of the replica set: charged with all use at an owner, an upper bound elsewhere
    private final CeilingBucket ceiling;
    private final ConcurrencyQuota concurrency;
    private final MeteredUse meter;
    private final DemandEstimate demand = new DemandEstimate();
    private double refilledAt;
    private double usedUnits; // running total
    /** Running total of the predecessor's use that is charged here. */
    private double chargedPredecessorUnits = Double.NEGATIVE_INFINITY;

    private double ownerRepliedAt = Double.NEGATIVE_INFINITY;
    private boolean earlierUseKnown; // as an owner: the shared level reflects use before this gateway started

    /** The initial state of a new quota. */
    record InitialState(double localTokens, CeilingBucket ceiling, ConcurrencyQuota concurrency, double now) {}

    CustomerQuota(
            long customer,
            int planNumber,
            Plan plan,
            int firstReplica,
            int replicaCount,
            int[] owners,
            InitialState initial) {
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

    /** Returns the number of the customer. */
    public long customer() {
        return customer;
    }

    /** Returns the index of the plan in the settings. */
    public int planNumber() {
        return planNumber;
    }

    /** Returns the plan of the customer. */
    public Plan plan() {
        return plan;
    }

    /** Returns the index of the first gateway of the replica set. */
    public int firstReplica() {
        return firstReplica;
    }

    /** Returns the number of gateways that may receive the customer's requests, at least 1. */
    public int replicaCount() {
        return replicaCount;
    }

    /** Returns the number of gateways that own the quota. */
    public int ownerCount() {
        return owners.length;
    }

    /** Returns the index of the gateway that has the given rank, from 0, among the quota's owners. */
    public int owner(int rank) {
        return owners[rank];
    }

    /** Returns whether the gateway with the given index owns the quota. */
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

    /** Moves the time of the last refill back to that of a snapshot, so that the next refill covers the time since. */
    void setRefilledAt(double at) {
        refilledAt = at;
    }

    double idleMs(double now) {
        return now - refilledAt;
    }

    /**
     * Refills the buckets and decays the averages up to {@code now}.
     *
     * @param share this gateway's share of the demand since the last refill, 0 to 1
     * @param localCapacity capacity of the local bucket for that share, in units
     */
    void refill(double now, double share, double localCapacity) {
        double elapsedMs = now - refilledAt;
        double seconds = elapsedMs / MS_PER_SECOND;
        double decayFactor = DemandEstimate.decayFactor(elapsedMs);
        refilledAt = now;
        demand.decay(decayFactor);
        meter.decay(decayFactor);
        concurrency.decay(decayFactor);
        shared.refill(plan.unitsPerSecond() * seconds);
        meter.refill(now, seconds);
        local.refill(share * plan.unitsPerSecond() * seconds, localCapacity);
        ceiling.refill(seconds);
    }

    // ---- requests

    /**
     * Charges an admitted request to the quota.
     *
     * @param expectedMs time that the request is expected to be open
     */
    public void requestAdmitted(double now, double units, double expectedMs) {
        concurrency.opened(now, expectedMs);
        charge(units);
        ceiling.reserve(units);
    }

    /** Marks the units of an admitted request as sent; called when its first attempt is sent to a host. */
    public void requestSent(double units) {
        ceiling.markSent(units);
    }

    /** Removes an admitted request that has ended from the open ones. */
    public void requestClosed() {
        concurrency.closed();
    }

    /** Refunds the units of a request that ended before it was completely sent, {@code markedSent} or not before. */
    public void refund(double units, boolean markedSent) {
        charge(-units);
        ceiling.refund(units, markedSent);
    }

    /** Takes units from the quota; a negative number refunds them. */
    public void charge(double units) {
        local.take(units);
        shared.take(units);
        meter.charge(units);
        usedUnits += units;
    }

    /**
     * Returns the time in milliseconds until a request may be admitted. With a rate, this is when the shared bucket
     * holds {@code units}, otherwise when the next paced admission is due. Zero or negative if that is the case now.
     */
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

    /** Returns whether the shared bucket holds {@code units} in addition to {@code reserve}. */
    boolean sharedHolds(double units, double reserve) {
        return shared.level() - reserve >= units;
    }

    /**
     * Returns whether a request may be admitted without an owner's decision.
     *
     * @param useSharedBucket whether this gateway decides for the whole replica set, by the shared bucket; otherwise
     *     its own share decides
     */
    public boolean admitsWithoutOwner(double units, boolean useSharedBucket) {
        TokenBucket bucket = useSharedBucket ? shared : local;
        return (!hasRate() || bucket.level() >= units) && ceiling.admits(units);
    }

    // ---- exchange between replicas and owners

    /** Returns the units used at this gateway, as a running total. */
    public double usedUnits() {
        return usedUnits;
    }

    /** Returns the demand at this gateway in units per second. */
    public double ownDemandPerSecond() {
        return demand.ownPerSecond();
    }

    /** Returns the demand at all gateways in units per second, as last reported. */
    public double totalDemandPerSecond() {
        return demand.totalPerSecond();
    }

    /** Returns the number of requests open at this gateway. */
    public int openRequests() {
        return concurrency.openRequests();
    }

    /** Returns the number of requests open at all gateways, as last reported. */
    public int totalOpenRequests() {
        return concurrency.openRequests() + concurrency.openAtPeers();
    }

    /** Returns the fill ratio of the shared bucket, negative while it has a debt; 1 if the plan has no burst. */
    public double fillRatio() {
        return plan.burstUnits() > 0 ? shared.level() / plan.burstUnits() : 1;
    }

    /** Returns whether the plan has a ceiling. */
    public boolean hasCeiling() {
        return ceiling.isLimited();
    }

    /** Returns whether this gateway's share of the ceiling holds {@code units}; always true without a ceiling. */
    public boolean ceilingAdmits(double units) {
        return ceiling.admits(units);
    }

    /** Returns whether this gateway, as an owner, knows what was used before it started. */
    public boolean isEarlierUseKnown() {
        return earlierUseKnown;
    }

    /** Returns the age of the last reply of an owner in milliseconds, infinite if there is none. */
    public double ownerReplyAgeMs(double now) {
        return now - ownerRepliedAt;
    }

    /**
     * Sets the level of the shared bucket to the fill ratio that another gateway reported.
     *
     * @param onlyIfLower whether a level above the present one is ignored
     */
    public void adoptFillRatio(double fillRatio, boolean onlyIfLower) {
        double maxLevel = onlyIfLower ? shared.level() : plan.burstUnits();
        shared.setLevel(Math.min(maxLevel, fillRatio * plan.burstUnits()));
        earlierUseKnown = true;
    }

    /**
     * Takes over an owner's reply.
     *
     * @param peerDemandPerSecond demand at the other gateways in units per second
     * @param peerOpenRequests requests open at the other gateways
     * @param sharedLevelUnits level of the shared bucket in units
     */
    public void ownerReplied(double now, double peerDemandPerSecond, int peerOpenRequests, double sharedLevelUnits) {
        demand.setPeersPerSecond(peerDemandPerSecond);
        concurrency.setOpenAtPeers(peerOpenRequests);
        ownerRepliedAt = now;
        earlierUseKnown = true;
        shared.setLevel(sharedLevelUnits);
    }

    /** Replaces the previous demand of a replica by its present demand; called at owners. */
    public void replicaDemandChanged(double newPerSecond, double oldPerSecond) {
        demand.replacePeerPerSecond(newPerSecond, oldPerSecond);
    }

    /** Adds {@code change}, which may be negative, to the requests open at other gateways; called at owners. */
    public void addReplicaOpenRequests(int change) {
        concurrency.addOpenAtPeers(change);
    }

    /** Charges units that a replica used, or refunded if negative; called at owners. */
    public void chargeReplicaUse(double units) {
        shared.take(units);
    }

    /** Returns whether the shared bucket holds {@code units}, always true without a rate; called at owners. */
    public boolean canGrant(double units) {
        return !hasRate() || shared.level() >= units;
    }

    /** Takes units that are granted to a replica; called at owners. */
    public void grant(double units) {
        shared.takeUnchecked(units);
    }

    /** Takes units of the ceiling that are granted to a replica; called at owners. */
    public void grantCeilingUnits(double units) {
        ceiling.grant(units);
    }

    /**
     * Adds units of the ceiling that an owner granted.
     *
     * @param totalGranted units granted by the owner so far
     * @param alreadyReceived the part of them that this gateway has received before
     */
    public void receiveCeilingUnits(double totalGranted, double alreadyReceived) {
        ceiling.receive(totalGranted, alreadyReceived);
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
                demand.ownPerSecond(),
                usedUnits,
                meter.ownPerSecond(),
                meter.lastShare(),
                meter.reportedAt(),
                meter.peersPerSecond());
    }

    /** Returns whether a snapshot of the predecessor has been restored. */
    boolean isRestored() {
        return chargedPredecessorUnits > Double.NEGATIVE_INFINITY;
    }

    /**
     * Restores the predecessor's state. Its snapshot does not include what this process has used since its own start,
     * so {@code usedHere} is subtracted from the saved levels.
     *
     * @param usedHere units used by this process
     */
    void restore(double now, QuotaSnapshot saved, double usedHere) {
        shared.restore(saved.sharedLevelUnits(), usedHere);
        local.setLevel(Math.min(plan.burstUnits(), saved.localLevelUnits()) - usedHere);
        demand.addOwnPerSecond(saved.demandUnitsPerSecond());
        meter.restore(now, saved, usedHere);
        earlierUseKnown = true;
    }

    /** Charges what the predecessor has used since its previous snapshot. */
    void chargePredecessorUse(QuotaSnapshot saved) {
        charge(Math.max(0, saved.usedUnits() - chargedPredecessorUnits));
    }

    /** Records up to which running total the predecessor's use is charged here. */
    void recordPredecessorUse(QuotaSnapshot saved) {
        chargedPredecessorUnits = Math.max(chargedPredecessorUnits, saved.usedUnits());
    }
}
