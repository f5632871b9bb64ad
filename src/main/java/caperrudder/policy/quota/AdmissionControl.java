package caperrudder.policy.quota;

import caperrudder.api.Plan;
import caperrudder.api.Settings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request fits the quota of its customer, by what this gateway knows of it.
 *
 * <p>Not thread-safe.
 */
public final class AdmissionControl {
    /** An owner's reply this old no longer admits without asking. */
    public static final double REPLY_FRESH_MS = 1000;

    private static final double REPLY_LAG_MS = 60; // a reported figure's age on arrival: half a gap and the way
    private static final double UNSEEN_USE = 0.6; // of the rate: what others may use unseen beside their demand
    private static final double DELAYED_REQUESTS = 2; // requests that one more delays, where all hosts queue
    private static final double MS_PER_SECOND = 1000;

    private final boolean peers;
    private final boolean metered;
    private final double meterPeriodMs;
    private final QuotaTable table;
    private final DemandShares shares;
    private final OwnerLocator owners;
    private final RejectionListener rejections;
    private final DoubleSupplier overdueShare;
    private final Map<Integer, AdmissionOdds> firstOdds = new HashMap<>();
    private final Map<Integer, AdmissionOdds> retryOdds = new HashMap<>();

    /** @param overdueShare share, 0 to 1, of the requests admitted lately that were served late */
    public AdmissionControl(
            Settings settings,
            QuotaTable table,
            OwnerLocator owners,
            RejectionListener rejections,
            DoubleSupplier overdueShare) {
        UsageSource source = UsageSource.of(settings);
        this.peers = source == UsageSource.PEERS;
        this.metered = source == UsageSource.METER;
        this.meterPeriodMs = settings.sharing().meterPeriodMs();
        this.table = table;
        this.shares = new DemandShares(source, owners);
        this.owners = owners;
        this.rejections = rejections;
        this.overdueShare = overdueShare;
    }

    /** Counts the request into its customer's demand and decides; {@code quota} is refilled up to now. */
    public AdmissionVerdict evaluate(double now, CustomerQuota quota, QuotaRequest request) {
        double units = request.units();
        quota.demand().addOwn(DemandEstimate.perSecond(units));
        boolean excessPays = excessPays(quota.plan());
        boolean limited = quota.hasRate() && !excessPays;
        if ((!excessPays && !concurrencyAdmits(now, quota)) || (limited && !quota.sharedHolds(units))) {
            rejections.quotaExhausted(now, quota);
            return AdmissionVerdict.REJECT;
        }
        boolean single = quota.replicaCount() == 1;
        if (!excessPays && metered && !single && !oddsAdmit(now, quota, request)) return AdmissionVerdict.REJECT;
        boolean mayAsk = peers && !single;
        boolean fits = !limited || hasCapacity(now, quota, units, mayAsk);
        if (fits && quota.ceilingAdmits(units)) return AdmissionVerdict.ADMIT; // rule 5: own units need no peer
        return mayAsk ? AdmissionVerdict.ASK_OWNER : AdmissionVerdict.REJECT;
    }

    /** Whether requests beyond the quota earn at least what they cost. */
    private static boolean excessPays(Plan plan) {
        return plan.overQuotaValue() > 0 && plan.overQuotaValue() >= plan.overQuotaCost();
    }

    private boolean concurrencyAdmits(double now, CustomerQuota quota) {
        ConcurrencyQuota concurrency = quota.concurrency();
        if (!concurrency.isLimited()) return true;
        if (!concurrency.isNextDue(now)) return false;
        return knowsOthersOpen(now, quota) ? concurrency.fitsTotal() : concurrency.fitsShare(shares.of(now, quota));
    }

    /** Whether what others have open is known well enough to count it. */
    private boolean knowsOthersOpen(double now, CustomerQuota quota) {
        if (quota.replicaCount() == 1) return true;
        if (!peers) return quota.concurrency().isPeakValid(now);
        return owners.decidesLocally(now, quota) || isReplyFresh(now, quota);
    }

    private static boolean isReplyFresh(double now, CustomerQuota quota) {
        return quota.ownerReplyAgeMs(now) < REPLY_FRESH_MS;
    }

    private boolean hasCapacity(double now, CustomerQuota quota, double units, boolean mayAsk) {
        if (!mayAsk) return quota.localHolds(units) || (metered && quota.meter().admits(now, units));
        if (owners.decidesLocally(now, quota)) return true; // the shared bucket is its own, and holds the units
        if (!isReplyFresh(now, quota)) return false;
        return quota.localHolds(units) || quota.sharedHolds(units, reserve(now, quota));
    }

    /** What the others may have used since an owner replied, as far as it matters against the cost of excess. */
    private static double reserve(double now, CustomerQuota quota) {
        Plan plan = quota.plan();
        double cost = plan.overQuotaCost() - plan.overQuotaValue();
        double perSecond = quota.demand().others() + UNSEEN_USE * plan.unitsPerSecond();
        double age = quota.ownerReplyAgeMs(now) + REPLY_LAG_MS;
        return perSecond * age / MS_PER_SECOND * 2 * cost / (1 + cost);
    }

    /** Whether a request is worth its odds of being beyond the quota, which the meter alone shows. */
    private boolean oddsAdmit(double now, CustomerQuota quota, QuotaRequest request) {
        double takenFromOthers = DELAYED_REQUESTS * overdueShare.getAsDouble();
        MeteredUse meter = quota.meter();
        return odds(quota, request)
                .admits(
                        now,
                        request.units(),
                        request.expectedValueShare(),
                        takenFromOthers,
                        meter.ageMs(now),
                        meter.useMultiple());
    }

    /** Where clients mark a retry, one has been rejected already: its odds are others. */
    private AdmissionOdds odds(CustomerQuota quota, QuotaRequest request) {
        Map<Integer, AdmissionOdds> ofPlans = request.isClientRetry() ? retryOdds : firstOdds;
        return ofPlans.computeIfAbsent(quota.planNumber(), number -> new AdmissionOdds(quota.plan(), meterPeriodMs));
    }

    /**
     * The response to a request carried the meter's figure.
     *
     * @param usedPercent of the customer's quota that all gateways use, plus one; 0 where nothing was reported
     */
    public void meterReported(double now, CustomerQuota quota, QuotaRequest request, int usedPercent) {
        if (usedPercent <= 0 || !metered) return;
        double useMultiple = (usedPercent - 1) / 100.0;
        AdmissionOdds odds = odds(quota, request);
        if (odds.isUnknown(quota.meter().ageMs(now))) odds.learn(now, request.units(), useMultiple);
        if (quota.hasRate()) {
            quota.meter().reportedRate(now, useMultiple, quota.demand().own());
            return;
        }
        table.refill(now, quota); // so that the peak has faded as it should
        quota.concurrency().meteredPeak(now, useMultiple);
        quota.meter().reportedPeak(now, useMultiple);
    }
}
