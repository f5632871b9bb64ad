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
 * The quotas of recently active customers, at most {@value #MAX_CUSTOMERS}.
 *
 * <p>Not thread-safe.
 */
public final class QuotaTable {
    /** Minimum idle time after which a customer is evicted. */
    public static final double MIN_EVICTION_IDLE_MS = 20_000;

    /** Returned by {@link #planNumber} for a plan that the settings do not contain. */
    public static final int UNKNOWN_PLAN = -1;

    /** Requests of further customers are rejected. */
    private static final int MAX_CUSTOMERS = 20_000;
    /** Maximum number of customers in a snapshot, which holds the most recently used ones. */
    private static final int MAX_SNAPSHOT_CUSTOMERS = 4000;
    /** Idle time before a customer is evicted, as a multiple of the time in which its slowest bucket fills. */
    private static final double IDLE_TO_FILL_TIME_RATIO = 2;
    /** Share of a ceiling reserved for the first owner; the rest is divided evenly over the replica set. */
    private static final double FIRST_OWNER_CEILING_SHARE = 0.5;

    private static final double MS_PER_SECOND = 1000;

    private final Map<Long, CustomerQuota> quotas = new LinkedHashMap<>();
    private final Map<String, Integer> planNumbers = new HashMap<>();
    private final Settings settings;
    private final int gatewayCount;
    private final boolean metered;
    private final OwnerLocator owners;
    private final DemandShares shares;
    private final double startedAt;

    /** @param now time at which this gateway starts; ceilings fill from then on */
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

    /** Returns the index of a plan in the settings, or {@link #UNKNOWN_PLAN}. */
    public int planNumber(String plan) {
        Integer number = planNumbers.get(plan);
        return number == null ? UNKNOWN_PLAN : number;
    }

    /** Returns the quota of a customer as of its last refill, or null if it is not in the table. */
    public CustomerQuota find(long customer) {
        return quotas.get(customer);
    }

    /**
     * Returns a customer's quota, refilled up to {@code now}, or null if it is new and the table is full. The plan and
     * the replica set of a customer in the table do not change, so that requests with other values get no new buckets
     * and do not change the owners.
     *
     * @param planNumber index of the plan in the settings; must not be {@link #UNKNOWN_PLAN}
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
        int[] rankedOwners = owners.ownersOf(customer, firstReplica, replicas);
        // The local bucket starts full. With the meter it starts with just an even share of the burst, because the
        // capacity is at least that of the largest request and would let each gateway admit a first request.
        double tokens = metered ? plan.burstUnits() / replicas : localCapacity(plan, 1.0 / replicas);
        CustomerQuota.InitialState initial = new CustomerQuota.InitialState(
                tokens,
                new CeilingBucket(plan, ceilingShare(replicas, rankedOwners), now - startedAt),
                new ConcurrencyQuota(plan, replicas, metered),
                now);
        return new CustomerQuota(customer, planNumber, plan, firstReplica, replicas, rankedOwners, initial);
    }

    /** Returns this gateway's share of a ceiling; the shares of a replica set sum to one. */
    private double ceilingShare(int replicaCount, int[] rankedOwners) {
        if (replicaCount == 1) return 1;
        boolean firstOwner = rankedOwners[0] == settings.gatewayIndex();
        return (firstOwner ? FIRST_OWNER_CEILING_SHARE : 0) + (1 - FIRST_OWNER_CEILING_SHARE) / replicaCount;
    }

    /** Refills a quota's buckets and decays its averages up to {@code now}. */
    public void refill(double now, CustomerQuota quota) {
        if (quota.idleMs(now) <= 0) return;
        double share = shares.of(now, quota);
        quota.refill(now, share, localCapacity(quota.plan(), share));
    }

    /** Returns this gateway's share of the burst, but at least the largest request so that it can be admitted. */
    private double localCapacity(Plan plan, double share) {
        return Math.max(
                share * plan.burstUnits(),
                Math.min(plan.burstUnits(), settings.coordination().maxUnits()));
    }

    /**
     * Evicts customers that have been idle for so long that a new quota would hold no more units than theirs.
     *
     * @param release releases state that other components keep for a quota; returns false if that state is still in
     *     use, and the quota then stays in the table
     */
    public void evictIdle(double now, Predicate<CustomerQuota> release) {
        quotas.values()
                .removeIf(quota -> quota.idleMs(now) > evictionIdleMs(quota.plan())
                        && quota.openRequests() == 0
                        && release.test(quota));
    }

    /** Returns the idle time after which the buckets of a customer are at least as full as those of a new one. */
    private static double evictionIdleMs(Plan plan) {
        double quotaFillSeconds = plan.unitsPerSecond() > 0 ? plan.burstUnits() / plan.unitsPerSecond() : 0;
        double ceilingFillSeconds =
                plan.ceilingUnitsPerSecond() > 0 ? plan.ceilingBurstUnits() / plan.ceilingUnitsPerSecond() : 0;
        return Math.max(
                MIN_EVICTION_IDLE_MS,
                IDLE_TO_FILL_TIME_RATIO * MS_PER_SECOND * Math.max(quotaFillSeconds, ceilingFillSeconds));
    }

    /** Returns snapshots of the most recently used quotas, refilled up to {@code now}. */
    public List<QuotaSnapshot> snapshot(double now) {
        return quotas.values().stream()
                .sorted(Comparator.comparingDouble(quota -> -quota.refilledAt()))
                .limit(MAX_SNAPSHOT_CUSTOMERS)
                .peek(quota -> refill(now, quota))
                .map(CustomerQuota::snapshot)
                .toList();
    }

    /**
     * Restores a quota from the predecessor's snapshot. From the customer's second snapshot on, only charges what the
     * predecessor has used since the previous one. Does nothing if the plan is not in the settings or differs from the
     * customer's plan here, or if the customer is new and the table is full.
     *
     * @param takenAtMs time at which the snapshot was taken
     */
    public void restore(double now, double takenAtMs, QuotaSnapshot saved) {
        boolean existed = quotas.containsKey(saved.customer());
        int planNumber = planNumber(saved.plan());
        if (planNumber == UNKNOWN_PLAN) return;
        CustomerQuota quota =
                findOrCreate(now, saved.customer(), planNumber, saved.firstReplica(), saved.replicaCount());
        if (quota == null || quota.planNumber() != planNumber) return;
        if (existed && quota.isRestored()) {
            quota.chargePredecessorUse(saved);
        } else {
            quota.restore(now, saved, existed ? quota.usedUnits() : 0);
            if (!existed) quota.setRefilledAt(Math.min(now, takenAtMs));
            refill(now, quota);
        }
        quota.recordPredecessorUse(saved);
    }
}
