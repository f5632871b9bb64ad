package caperrudder.policy.quota;

import caperrudder.api.Plan;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Settings;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The quotas of all customers that this gateway remembers, at most {@value #MAX_CUSTOMERS}.
 *
 * <p>Not thread-safe.
 */
public final class QuotaTable {
    /** An idle customer is forgotten after so long, and not before. */
    public static final double FORGET_AFTER_MS = 20_000;

    /** What {@link #planNumber} says of a plan that the settings do not name. */
    public static final int UNKNOWN_PLAN = -1;

    private static final int MAX_CUSTOMERS = 20_000; // a new customer beyond them is rejected
    private static final int MAX_SAVED_CUSTOMERS = 4000; // of a snapshot: those used last
    private static final double FILL_TIMES = 2; // an idle customer's slowest bucket could have filled so often
    private static final double OWNER_CEILING_SHARE = 0.5; // held by the first owner; the rest evenly
    private static final double MS_PER_SECOND = 1000;

    private final Map<Long, CustomerQuota> quotas = new LinkedHashMap<>();
    private final Map<String, Integer> planNumbers = new HashMap<>();
    private final Settings settings;
    private final int gatewayCount;
    private final boolean metered;
    private final OwnerLocator owners;
    private final DemandShares shares;
    private final double startedAt;

    /** @param now time of this gateway's start; ceilings fill from then on */
    public QuotaTable(double now, Settings settings, OwnerLocator owners) {
        this.startedAt = now;
        this.settings = settings;
        this.gatewayCount = Math.max(1, settings.gatewayCount());
        this.owners = owners;
        UsageSource source = UsageSource.of(settings);
        this.metered = source == UsageSource.METER;
        this.shares = new DemandShares(source, owners);
        for (int i = 0; i < settings.plans().size(); i++) {
            planNumbers.put(settings.plans().get(i).name(), i);
        }
    }

    /** Index of a plan in the settings, or {@link #UNKNOWN_PLAN}. */
    public int planNumber(String plan) {
        Integer number = planNumbers.get(plan);
        return number == null ? UNKNOWN_PLAN : number;
    }

    /** The quota of a customer, as of its last refill; null where it is not remembered. */
    public CustomerQuota find(long customer) {
        return quotas.get(customer);
    }

    /**
     * A customer's quota, refilled up to now; null where the table is full. The plan and the replica set that came
     * first stand as long as the customer is remembered: who claims others gets no fresh buckets and moves no owner.
     */
    public CustomerQuota findOrCreate(double now, long customer, int planNumber, int firstReplica, int replicaCount) {
        CustomerQuota quota = quotas.get(customer);
        if (quota == null) {
            if (quotas.size() >= MAX_CUSTOMERS) return null;
            quota = create(now, customer, planNumber, firstReplica, replicaCount);
            quotas.put(customer, quota);
        }
        refill(now, quota);
        return quota;
    }

    private CustomerQuota create(double now, long customer, int planNumber, int firstReplica, int replicaCount) {
        Plan plan = settings.plans().get(planNumber);
        int replicas = Math.max(1, Math.min(replicaCount, gatewayCount));
        int[] ranked = owners.ownersOf(customer, firstReplica, replicas);
        // As full as it ever is; by the meter no more than its share, or all first requests would be admitted.
        double tokens = metered ? plan.burstUnits() / replicas : localCapacity(plan, 1.0 / replicas);
        CustomerQuota.Initial initial = new CustomerQuota.Initial(
                tokens,
                new CeilingBucket(plan, ceilingShare(replicas, ranked), now - startedAt),
                new ConcurrencyQuota(plan, replicas, metered),
                now);
        return new CustomerQuota(customer, planNumber, plan, firstReplica, replicas, ranked, initial);
    }

    /** This gateway's own share of a ceiling: all sum to one, and each is spent by its holder alone. */
    private double ceilingShare(int replicaCount, int[] ranked) {
        if (replicaCount == 1) return 1;
        boolean first = ranked[0] == settings.gatewayIndex();
        return (first ? OWNER_CEILING_SHARE : 0) + (1 - OWNER_CEILING_SHARE) / replicaCount;
    }

    /** Brings a quota's buckets and averages up to now. */
    public void refill(double now, CustomerQuota quota) {
        if (quota.idleMs(now) <= 0) return;
        double share = shares.of(now, quota);
        quota.refill(now, share, localCapacity(quota.plan(), share));
    }

    /** The burst times the share, and at least one request, or the bucket could admit none. */
    private double localCapacity(Plan plan, double share) {
        return Math.max(
                share * plan.burstUnits(),
                Math.min(plan.burstUnits(), settings.sharing().maxUnits()));
    }

    /**
     * Forgets customers that were idle so long that a new quota would give them no more.
     *
     * @param release drops what is kept beside a quota; false where it is still needed, and the quota stays
     */
    public void forgetIdle(double now, Predicate<CustomerQuota> release) {
        quotas.values()
                .removeIf(quota ->
                        quota.idleMs(now) > forgetAfterMs(quota.plan()) && quota.open() == 0 && release.test(quota));
    }

    /** From then on an idle customer's buckets are as full as those of a new one: forgetting gives nothing. */
    private static double forgetAfterMs(Plan plan) {
        double quota = plan.unitsPerSecond() > 0 ? plan.burstUnits() / plan.unitsPerSecond() : 0;
        double ceiling = plan.ceilingUnitsPerSecond() > 0 ? plan.ceilingBurstUnits() / plan.ceilingUnitsPerSecond() : 0;
        return Math.max(FORGET_AFTER_MS, FILL_TIMES * MS_PER_SECOND * Math.max(quota, ceiling));
    }

    /** The customers used last, refilled up to now. */
    public List<QuotaSnapshot> snapshot(double now) {
        return quotas.values().stream()
                .sorted(Comparator.comparingDouble(quota -> -quota.refilledAt()))
                .limit(MAX_SAVED_CUSTOMERS)
                .peek(quota -> refill(now, quota))
                .map(CustomerQuota::snapshot)
                .toList();
    }

    /**
     * Takes over a quota of the process before this one; from the second snapshot on, charges what that process used
     * since the one before. One of a plan that is not known here, or not the customer's, changes nothing.
     */
    public void restore(double now, double takenAtMs, QuotaSnapshot saved) {
        boolean known = quotas.containsKey(saved.customer());
        int planNumber = planNumber(saved.plan());
        if (planNumber == UNKNOWN_PLAN) return;
        CustomerQuota quota =
                findOrCreate(now, saved.customer(), planNumber, saved.firstReplica(), saved.replicaCount());
        if (quota == null || quota.planNumber() != planNumber) return;
        if (known && quota.isRestored()) {
            quota.chargeRestoredUse(saved);
        } else {
            quota.restore(now, saved, known ? quota.usedUnits() : 0);
            if (!known) quota.lastUsedAt(Math.min(now, takenAtMs));
            refill(now, quota);
        }
        quota.noteRestoredUse(saved);
    }
}
