package caperrudder.policy.quota;

import caperrudder.api.Plan;

/**
 * A customer's limit on the requests that are open at the same time over all gateways, if its plan has one.
 *
 * <p>Not thread-safe.
 */
final class ConcurrencyQuota {
    /** Share of a replica set's gateways that are expected to admit requests of one customer at the same time. */
    private static final double ACTIVE_REPLICAS_SHARE = 0.25;
    /** Validity of a metered peak, in admission intervals. */
    private static final double PEAK_VALID_INTERVALS = 1.5;

    private final int limit;
    private final int replicaCount;
    private final boolean paced;
    private int openRequests;
    private int openAtPeers;
    private double recentPeak; // most requests open here at the same time; decays
    private double admissionIntervalMs; // the limit is fully used if each replica admits one request per interval
    private double nextAdmissionAt = Double.NEGATIVE_INFINITY;
    private double meteredPeakValidUntil = Double.NEGATIVE_INFINITY;

    /** @param metered whether the meter alone reports the use by other gateways */
    ConcurrencyQuota(Plan plan, int replicaCount, boolean metered) {
        this.limit = plan.concurrencyLimit();
        this.replicaCount = replicaCount;
        this.paced = replicaCount > 1 && limit > 0 && plan.unitsPerSecond() <= 0 && metered;
    }

    boolean isLimited() {
        return limit > 0;
    }

    int openRequests() {
        return openRequests;
    }

    /** Returns the requests open at other gateways, as last reported. */
    int openAtPeers() {
        return openAtPeers;
    }

    void setOpenAtPeers(int requests) {
        openAtPeers = requests;
    }

    /** Changes the number of requests open at other gateways by {@code requests}, which may be negative. */
    void addOpenAtPeers(int requests) {
        openAtPeers += requests;
    }

    void decay(double factor) {
        recentPeak = Math.max(openRequests, recentPeak * factor);
    }

    /**
     * Counts an admitted request as open. If the meter alone reports the use by other gateways and the plan has no
     * rate, the next admission is delayed, because this gateway learns late what others admit. The limit is fully used
     * if {@link #ACTIVE_REPLICAS_SHARE} of the set's gateways admit requests at this pace.
     *
     * @param expectedMs time that the request is expected to be open
     */
    void opened(double now, double expectedMs) {
        recentPeak = Math.max(recentPeak, ++openRequests);
        admissionIntervalMs = paced ? replicaCount * expectedMs / limit : 0;
        nextAdmissionAt = now + ACTIVE_REPLICAS_SHARE * admissionIntervalMs;
    }

    void closed() {
        openRequests--;
    }

    /** Returns whether the pace of admissions allows another one now. */
    boolean isNextAdmissionDue(double now) {
        return now >= nextAdmissionAt;
    }

    /** Returns the time in milliseconds until the pace allows another admission; not positive if it does now. */
    double nextAdmissionInMs(double now) {
        return nextAdmissionAt - now;
    }

    /** Returns whether the number of requests open at other gateways, as computed from the meter, is still valid. */
    boolean isMeteredPeakValid(double now) {
        return now < meteredPeakValidUntil;
    }

    /** Returns whether one more request fits the limit, counting the requests open at all gateways. */
    boolean fitsTotal() {
        return openRequests + openAtPeers < limit;
    }

    /** Returns whether one more request fits this gateway's share, 0 to 1, of the limit; the first one always fits. */
    boolean fitsShare(double share) {
        return openRequests < Math.max(1, (int) (limit * share));
    }

    /**
     * Derives the number of requests open at other gateways from the peak that the meter reports.
     *
     * @param multipleOfLimit most requests recently open at the same time at all gateways, as a multiple of the limit
     */
    void recordMeteredPeak(double now, double multipleOfLimit) {
        double peak = multipleOfLimit * limit;
        openAtPeers = replicaCount == 1 ? 0 : (int) Math.max(0, Math.round(peak - recentPeak));
        meteredPeakValidUntil = now + PEAK_VALID_INTERVALS * admissionIntervalMs;
    }
}
