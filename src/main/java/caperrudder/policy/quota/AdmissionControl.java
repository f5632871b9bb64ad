package caperrudder.policy.quota;

import caperrudder.api.Plan;
import caperrudder.api.Settings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Decides whether to admit a request, by its customer's quota and the use of it that this gateway knows of.
 *
 * <p>Not thread-safe.
 */
public final class AdmissionControl {
    /** An owner's reply of this age or older no longer allows admission without asking the owner. */
    public static final double OWNER_REPLY_STALE_MS = 1000;

    /** Mean age of the figures in an owner's reply on arrival: half the reply interval plus the transit time. */
    private static final double OWNER_REPLY_DELAY_MS = 60;
    /** Use that the reported demand of the other gateways may not show yet, relative to the plan's rate. */
    private static final double UNREPORTED_USE_RATIO = 0.6;
    /** Requests that one more admitted request delays while all hosts have a queue. */
    private static final double DELAYED_REQUESTS_PER_ADMISSION = 2;

    private static final double MS_PER_SECOND = 1000;

    private final boolean usesPeerMessages;
    private final boolean usesMeter;
    private final double meterPeriodMs;
    private final QuotaTable table;
    private final DemandShares shares;
    private final OwnerLocator owners;
    private final QuotaExhaustionListener exhaustionListener;
    private final DoubleSupplier lateRequestShare;
    private final Map<Integer, ExpectedValueAdmission> firstRequestAdmissionByPlan = new HashMap<>();
    private final Map<Integer, ExpectedValueAdmission> clientRetryAdmissionByPlan = new HashMap<>();

    /** @param lateRequestShare supplies the share, 0 to 1, of recently admitted requests that were served late */
    public AdmissionControl(
            Settings settings,
            QuotaTable table,
            OwnerLocator owners,
            QuotaExhaustionListener exhaustionListener,
            DoubleSupplier lateRequestShare) {
        UsageSource source = UsageSource.of(settings);
        this.usesPeerMessages = source == UsageSource.PEERS;
        this.usesMeter = source == UsageSource.METER;
        this.meterPeriodMs = settings.coordination().meterPeriodMs();
        this.table = table;
        this.shares = new DemandShares(source, owners);
        this.owners = owners;
        this.exhaustionListener = exhaustionListener;
        this.lateRequestShare = lateRequestShare;
    }

    /**
     * Decides on a request and adds it to its customer's demand.
     *
     * @param quota the customer's quota, refilled up to {@code now}
     */
    public AdmissionDecision evaluate(double now, CustomerQuota quota, QuotaRequest request) {
        double units = request.units();
        quota.demand().addOwnPerSecond(DemandEstimate.rateIncrease(units));
        boolean excessProfitable = isExcessProfitable(quota.plan());
        boolean rateLimited = quota.hasRate() && !excessProfitable;
        if ((!excessProfitable && !concurrencyAdmits(now, quota)) || (rateLimited && !quota.sharedHolds(units))) {
            exhaustionListener.quotaExhausted(now, quota);
            return AdmissionDecision.REJECT;
        }
        boolean singleReplica = quota.replicaCount() == 1;
        if (!excessProfitable && usesMeter && !singleReplica && !isWorthAdmitting(now, quota, request)) {
            return AdmissionDecision.REJECT;
        }
        boolean canAskOwner = usesPeerMessages && !singleReplica;
        boolean withinRate = !rateLimited || hasCapacity(now, quota, units, canAskOwner);
        // This gateway spends its own share of the ceiling without asking an owner (rule 5).
        if (withinRate && quota.ceilingAdmits(units)) return AdmissionDecision.ADMIT;
        return canAskOwner ? AdmissionDecision.ASK_OWNER : AdmissionDecision.REJECT;
    }

    /** Returns whether a request over the quota earns at least what it costs. */
    private static boolean isExcessProfitable(Plan plan) {
        return plan.overQuotaValueShare() > 0 && plan.overQuotaValueShare() >= plan.overQuotaCostRatio();
    }

    private boolean concurrencyAdmits(double now, CustomerQuota quota) {
        ConcurrencyQuota concurrency = quota.concurrency();
        if (!concurrency.isLimited()) return true;
        if (!concurrency.isNextAdmissionDue(now)) return false;
        return isPeerConcurrencyKnown(now, quota)
                ? concurrency.fitsTotal()
                : concurrency.fitsShare(shares.of(now, quota));
    }

    /** Returns whether the number of requests open at other gateways is recent enough to be counted. */
    private boolean isPeerConcurrencyKnown(double now, CustomerQuota quota) {
        if (quota.replicaCount() == 1) return true;
        if (!usesPeerMessages) return quota.concurrency().isMeteredPeakValid(now);
        return owners.decidesLocally(now, quota) || isReplyFresh(now, quota);
    }

    private static boolean isReplyFresh(double now, CustomerQuota quota) {
        return quota.ownerReplyAgeMs(now) < OWNER_REPLY_STALE_MS;
    }

    private boolean hasCapacity(double now, CustomerQuota quota, double units, boolean canAskOwner) {
        if (!canAskOwner)
            return quota.localHolds(units) || (usesMeter && quota.meter().admits(now, units));
        // The gateway that decides for the replica set needs no reply: its shared bucket is known to hold the units.
        if (owners.decidesLocally(now, quota)) return true;
        if (!isReplyFresh(now, quota)) return false;
        return quota.localHolds(units) || quota.sharedHolds(units, reservedUnits(now, quota));
    }

    /**
     * Returns the units of the shared bucket that other gateways may have used since the owner's figures were taken.
     * They are weighted by the net cost of a request over the quota: the weight is 0 without a cost, 1 if the cost
     * equals the value of the request, and approaches 2 for high costs.
     */
    private static double reservedUnits(double now, CustomerQuota quota) {
        Plan plan = quota.plan();
        double netCost = plan.overQuotaCostRatio() - plan.overQuotaValueShare();
        double unitsPerSecond = quota.demand().peersPerSecond() + UNREPORTED_USE_RATIO * plan.unitsPerSecond();
        double ageMs = quota.ownerReplyAgeMs(now) + OWNER_REPLY_DELAY_MS;
        return unitsPerSecond * ageMs / MS_PER_SECOND * 2 * netCost / (1 + netCost);
    }

    /**
     * Returns whether a request is worth admitting, given the probability that it is over the quota. Used if the meter
     * alone reports what other gateways admit.
     */
    private boolean isWorthAdmitting(double now, CustomerQuota quota, QuotaRequest request) {
        double delayCostShare = DELAYED_REQUESTS_PER_ADMISSION * lateRequestShare.getAsDouble();
        MeteredUse meter = quota.meter();
        return expectedValueAdmission(quota, request)
                .admits(
                        now,
                        request.units(),
                        request.expectedValueShare(),
                        delayCostShare,
                        meter.ageMs(now),
                        meter.useMultiple());
    }

    /**
     * Returns the admission for the request's plan. Requests that a client marked as a retry have one of their own,
     * because a customer whose request was rejected is more often over its quota.
     */
    private ExpectedValueAdmission expectedValueAdmission(CustomerQuota quota, QuotaRequest request) {
        Map<Integer, ExpectedValueAdmission> admissionByPlan =
                request.isClientRetry() ? clientRetryAdmissionByPlan : firstRequestAdmissionByPlan;
        return admissionByPlan.computeIfAbsent(
                quota.planNumber(), number -> new ExpectedValueAdmission(quota.plan(), meterPeriodMs));
    }

    /**
     * Records the meter's figure that arrived with the response to a request.
     *
     * @param usedPercentPlusOne percentage of the customer's quota that all gateways use, plus 1; 0 if nothing was
     *     reported
     */
    public void recordMeteredUse(double now, CustomerQuota quota, QuotaRequest request, int usedPercentPlusOne) {
        if (usedPercentPlusOne <= 0 || !usesMeter) return;
        double useMultiple = (usedPercentPlusOne - 1) / 100.0;
        ExpectedValueAdmission admission = expectedValueAdmission(quota, request);
        if (admission.isCustomerUnknown(quota.meter().ageMs(now))) {
            admission.recordResponse(now, request.units(), useMultiple);
        }
        if (quota.hasRate()) {
            quota.meter().recordRate(now, useMultiple, quota.demand().ownPerSecond());
            return;
        }
        table.refill(now, quota); // decays this gateway's recent peak up to now
        quota.concurrency().recordMeteredPeak(now, useMultiple);
        quota.meter().recordPeak(now, useMultiple);
    }
}
