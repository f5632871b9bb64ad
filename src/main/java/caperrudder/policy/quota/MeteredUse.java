package caperrudder.policy.quota;

import caperrudder.api.Plan;
import caperrudder.api.QuotaSnapshot;

/**
 * A customer's use over all gateways as the meter reports it, and what this gateway derives from it: its own share of
 * the use, and an estimate of the level of the quota's token bucket. Rates are in units per second.
 *
 * <p>Not thread-safe.
 */
final class MeteredUse {
    /** Older figures are ignored. */
    private static final double MAX_FIGURE_AGE_MS = 20_000;
    /** Figures of this age or older do not limit admission by the use of other gateways. */
    private static final double FIGURE_STALE_MS = 1000;
    /** Mean age of a figure on arrival: half the interval that it covers plus the transit time. */
    private static final double FIGURE_DELAY_MS = 1300;
    /** Units that the bucket must hold for each unit of a request unless a fresh figure is over the rate. */
    private static final double REQUIRED_LEVEL_PER_UNIT = 2;
    /** Largest increase of the share by one figure. */
    private static final double MAX_SHARE_STEP = 0.05;
    /** Largest increase of the share by one figure, relative to the even share. */
    private static final double MAX_STEP_TO_EVEN_SHARE_RATIO = 0.5;

    private static final double MS_PER_SECOND = 1000;

    private final Plan plan;
    private final int replicaCount;
    private final TokenBucket bucket;
    private double share;
    private double useMultiple;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double totalPerSecond;
    private double peersPerSecond;
    private double ownPerSecond;

    MeteredUse(Plan plan, int replicaCount) {
        this.plan = plan;
        this.replicaCount = replicaCount;
        this.bucket = new TokenBucket(0, plan.burstUnits(), plan.burstUnits());
    }

    /** Returns the age of the last figure, infinite if there is none. */
    double ageMs(double now) {
        return now - reportedAt;
    }

    /** Returns the last reported use by all gateways, as a multiple of the quota. */
    double useMultiple() {
        return useMultiple;
    }

    /** Returns this gateway's share of the customer's use, 0 to 1; the even share if there is no recent figure. */
    double share(double now) {
        return ageMs(now) < MAX_FIGURE_AGE_MS ? share : evenShare();
    }

    private double evenShare() {
        return 1.0 / replicaCount;
    }

    void decay(double factor) {
        ownPerSecond *= factor;
    }

    /**
     * Refills the bucket at the plan's rate, less the use of other gateways. The level does not fall below zero,
     * because requests over the quota take no units from the bucket.
     */
    void refill(double now, double seconds) {
        double recentPeersPerSecond = ageMs(now) < MAX_FIGURE_AGE_MS ? peersPerSecond : 0;
        bucket.add((plan.unitsPerSecond() - recentPeersPerSecond) * seconds);
    }

    void charge(double units) {
        bucket.take(units);
        ownPerSecond += DemandEstimate.rateIncrease(units);
    }

    /**
     * Returns whether the bucket has capacity for {@code units}. The use of other gateways since the last figure is
     * subtracted only if that figure is fresh and over the rate. In a large replica set each gateway seldom sees a
     * given customer, and its share is less than one request. If a fresh figure were required, all gateways would
     * reject a customer whose bucket is full.
     */
    boolean admits(double now, double units) {
        double figureAgeMs = ageMs(now);
        if (figureAgeMs < FIGURE_STALE_MS && totalPerSecond > plan.unitsPerSecond()) {
            return bucket.level() - peersPerSecond * (figureAgeMs + FIGURE_DELAY_MS) / MS_PER_SECOND >= units;
        }
        return bucket.level() >= Math.min(plan.burstUnits(), REQUIRED_LEVEL_PER_UNIT * units);
    }

    /**
     * Records a figure for a plan with a concurrency limit and no rate. This gateway's share cannot be derived from it,
     * so the even share is used.
     */
    void recordPeak(double now, double multipleOfQuota) {
        useMultiple = multipleOfQuota;
        share = evenShare();
        reportedAt = now;
    }

    /**
     * Records a figure for a plan with a rate. The share is set to this gateway's share of the use. While the use by
     * all gateways is below the rate and the demand at this gateway exceeds its share of the rate, the share rises by a
     * step instead.
     *
     * @param multipleOfQuota use by all gateways as a multiple of the plan's rate
     * @param ownDemandPerSecond demand at this gateway
     */
    void recordRate(double now, double multipleOfQuota, double ownDemandPerSecond) {
        useMultiple = multipleOfQuota;
        double reportedPerSecond = multipleOfQuota * plan.unitsPerSecond();
        double ownShare = reportedPerSecond > 0 ? Math.min(1, ownPerSecond / reportedPerSecond) : evenShare();
        boolean rises =
                reportedPerSecond < plan.unitsPerSecond() && ownDemandPerSecond > ownShare * plan.unitsPerSecond();
        double step = Math.min(MAX_SHARE_STEP, MAX_STEP_TO_EVEN_SHARE_RATIO / replicaCount);
        share = rises ? Math.min(1, Math.max(ownShare, share) + step) : ownShare;
        reportedAt = now;
        totalPerSecond = reportedPerSecond;
        peersPerSecond = Math.max(0, reportedPerSecond - ownPerSecond);
    }

    /**
     * Restores the level, rates and share of a snapshot.
     *
     * @param usedSince units used by this gateway that the snapshot does not count
     */
    void restore(double now, QuotaSnapshot saved, double usedSince) {
        bucket.restore(saved.meteredLevelUnits(), usedSince);
        ownPerSecond += saved.usedUnitsPerSecond();
        share = saved.meteredShare();
        peersPerSecond = saved.meteredPeerUnitsPerSecond();
        totalPerSecond = saved.meteredPeerUnitsPerSecond() + saved.usedUnitsPerSecond();
        useMultiple = plan.unitsPerSecond() > 0 ? totalPerSecond / plan.unitsPerSecond() : 0;
        reportedAt = Math.min(now, saved.lastMeterReportAtMs());
    }

    double level() {
        return bucket.level();
    }

    double ownPerSecond() {
        return ownPerSecond;
    }

    /** Returns the share derived from the last figure, regardless of its age. */
    double lastShare() {
        return share;
    }

    double reportedAt() {
        return reportedAt;
    }

    double peersPerSecond() {
        return peersPerSecond;
    }
}
