package caperrudder.policy.quota;

import caperrudder.api.Plan;

/**
 * A customer's limit on requests open at once over all gateways, where its plan has one.
 *
 * <p>Not thread-safe.
 */
final class ConcurrencyQuota {
    /** Of a replica set, so many gateways may bring a customer at a time. */
    private static final double BUSY_REPLICAS_SHARE = 0.25;
    /** A metered peak holds so many times as long as each gateway of the set needs to admit one request. */
    private static final double PEAK_INTERVALS = 1.5;

    private final int limit;
    private final int replicaCount;
    private final boolean paced;
    private int open;
    private int openAtOthers;
    private double recentPeak; // most open here at once of late; fades
    private double intervalMs; // in which each gateway of the set could admit one, for all to use the limit
    private double nextAdmissionAt = Double.NEGATIVE_INFINITY;
    private double peakValidUntil = Double.NEGATIVE_INFINITY;

    /** @param metered whether the use by other gateways is known by the meter alone */
    ConcurrencyQuota(Plan plan, int replicaCount, boolean metered) {
        this.limit = plan.concurrencyLimit();
        this.replicaCount = replicaCount;
        this.paced = replicaCount > 1 && limit > 0 && plan.unitsPerSecond() <= 0 && metered;
    }

    boolean isLimited() {
        return limit > 0;
    }

    int open() {
        return open;
    }

    /** Open at other gateways, as last reported. */
    int openAtOthers() {
        return openAtOthers;
    }

    void setOpenAtOthers(int requests) {
        openAtOthers = requests;
    }

    /** Adds requests reported as open at another gateway, or takes them off where negative. */
    void addOpenAtOthers(int requests) {
        openAtOthers += requests;
    }

    void fade(double factor) {
        recentPeak = Math.max(open, recentPeak * factor);
    }

    /**
     * A request was admitted. Where others are known by the meter alone, one that admits one after another counts on
     * many that do the same: the next one is admitted no sooner than if some of the set in turn kept the limit in use.
     *
     * @param expectedMs time that the request is expected to be open
     */
    void opened(double now, double expectedMs) {
        recentPeak = Math.max(recentPeak, ++open);
        intervalMs = paced ? replicaCount * expectedMs / limit : 0;
        nextAdmissionAt = now + BUSY_REPLICAS_SHARE * intervalMs;
    }

    void closed() {
        open--;
    }

    /** Whether the time to admit a further request has come. */
    boolean isNextDue(double now) {
        return now >= nextAdmissionAt;
    }

    double nextAdmissionInMs(double now) {
        return nextAdmissionAt - now;
    }

    /** Whether the meter's figure of what others have open still holds. */
    boolean isPeakValid(double now) {
        return now < peakValidUntil;
    }

    /** Whether a request fits under the limit beside those known to be open anywhere. */
    boolean fitsTotal() {
        return open + openAtOthers < limit;
    }

    /** Whether a request fits under this gateway's share, 0 to 1, of the limit; one always does. */
    boolean fitsShare(double share) {
        return open < Math.max(1, (int) (limit * share));
    }

    /**
     * The meter reports the most requests open at once of late, as a multiple of the limit. It holds so long that if
     * each gateway then admitted one, these would be half of the limit on the mean.
     */
    void meteredPeak(double now, double multipleOfLimit) {
        double peak = multipleOfLimit * limit;
        openAtOthers = replicaCount == 1 ? 0 : (int) Math.max(0, Math.round(peak - recentPeak));
        peakValidUntil = now + PEAK_INTERVALS * intervalMs;
    }
}
