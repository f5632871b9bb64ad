package caperrudder.policy.quota;

import caperrudder.api.Plan;
import caperrudder.api.QuotaSnapshot;

/**
 * What the meter reported of a customer's use over all gateways, and what follows from it: this gateway's share, and
 * the level of the whole bucket. Rates are units per second.
 *
 * <p>Not thread-safe.
 */
final class MeteredUse {
    private static final double FIGURE_KEPT_MS = 20_000; // an older figure is ignored
    private static final double FIGURE_FRESH_MS = 1000; // what others use counts only while a figure is this fresh
    private static final double FIGURE_LAG_MS = 1300; // a figure's age on arrival: half its period and the way
    private static final double SPARE_MULTIPLE = 2; // times a request's units in the bucket, without a fresh figure
    private static final double LARGEST_STEP = 0.05; // by which the share rises on a figure, and
    private static final double LARGEST_STEP_OF_EVEN = 0.5; // as a multiple of the even share

    private final Plan plan;
    private final int replicaCount;
    private final TokenBucket bucket;
    private double share;
    private double useMultiple;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double totalPerSecond;
    private double othersPerSecond;
    private double ownPerSecond;

    MeteredUse(Plan plan, int replicaCount) {
        this.plan = plan;
        this.replicaCount = replicaCount;
        this.bucket = new TokenBucket(0, plan.burstUnits(), plan.burstUnits());
    }

    /** Age of the last figure; infinite where there is none. */
    double ageMs(double now) {
        return now - reportedAt;
    }

    /** Use by all gateways as a multiple of the quota, as last reported. */
    double useMultiple() {
        return useMultiple;
    }

    /** This gateway's share of the customer's use, 0 to 1; the even one where no figure is left. */
    double share(double now) {
        return ageMs(now) < FIGURE_KEPT_MS ? share : evenShare();
    }

    private double evenShare() {
        return 1.0 / replicaCount;
    }

    void fade(double factor) {
        ownPerSecond *= factor;
    }

    /** What was admitted beyond the quota took nothing from the bucket: others do not empty it below zero. */
    void refill(double now, double seconds) {
        double others = ageMs(now) < FIGURE_KEPT_MS ? othersPerSecond : 0;
        bucket.add((plan.unitsPerSecond() - others) * seconds);
    }

    void charge(double units) {
        bucket.take(units);
        ownPerSecond += DemandEstimate.perSecond(units);
    }

    /**
     * Capacity left in the whole bucket. Among many gateways each meets a customer seldom, and its share of it is less
     * than a request: if all waited for a fresh figure, all would reject one whose bucket is full. So what others use
     * is held against it only while the last figure is fresh and over the rate.
     */
    boolean admits(double now, double units) {
        double age = ageMs(now);
        if (age < FIGURE_FRESH_MS && totalPerSecond > plan.unitsPerSecond()) {
            return bucket.level() - othersPerSecond * (age + FIGURE_LAG_MS) / 1000 >= units;
        }
        return bucket.level() >= Math.min(plan.burstUnits(), SPARE_MULTIPLE * units);
    }

    /** A figure on a plan whose limit is on requests open at once: it says nothing of shares. */
    void reportedPeak(double now, double multipleOfQuota) {
        useMultiple = multipleOfQuota;
        share = evenShare();
        reportedAt = now;
    }

    /**
     * A figure on a plan with a rate. The share follows the use, and rises a step while there is more demand here than
     * it covers and the quota is not used up.
     *
     * @param ownDemandPerSecond demand at this gateway
     */
    void reportedRate(double now, double multipleOfQuota, double ownDemandPerSecond) {
        useMultiple = multipleOfQuota;
        double total = multipleOfQuota * plan.unitsPerSecond();
        double used = total > 0 ? Math.min(1, ownPerSecond / total) : evenShare();
        boolean rises = total < plan.unitsPerSecond() && ownDemandPerSecond > used * plan.unitsPerSecond();
        double step = Math.min(LARGEST_STEP, LARGEST_STEP_OF_EVEN / replicaCount);
        share = rises ? Math.min(1, Math.max(used, share) + step) : used;
        reportedAt = now;
        totalPerSecond = total;
        othersPerSecond = Math.max(0, total - ownPerSecond);
    }

    /** @param usedSince units used here that the snapshot does not count */
    void restore(double now, QuotaSnapshot saved, double usedSince) {
        bucket.restore(saved.meteredLevel(), usedSince);
        ownPerSecond += saved.usePerSecond();
        share = saved.meteredShare();
        othersPerSecond = saved.meteredOthersPerSecond();
        totalPerSecond = saved.meteredOthersPerSecond() + saved.usePerSecond();
        useMultiple = plan.unitsPerSecond() > 0 ? totalPerSecond / plan.unitsPerSecond() : 0;
        reportedAt = Math.min(now, saved.meteredAtMs());
    }

    double level() {
        return bucket.level();
    }

    double ownPerSecond() {
        return ownPerSecond;
    }

    /** As last reported, however long ago. */
    double lastShare() {
        return share;
    }

    double reportedAt() {
        return reportedAt;
    }

    double othersPerSecond() {
        return othersPerSecond;
    }
}
