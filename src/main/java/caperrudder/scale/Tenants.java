package caperrudder.scale;

import caperrudder.api.Plan;
import java.util.List;

/**
 * The tenants, and the meter of what each uses: with every response its use in the last finished second, in percent of
 * its plan's rate and plus 1, as PROTOCOL gives it. The replica sets of tenants follow each other round the fleet, so
 * that the tenants of one gateway have consecutive numbers. Not thread-safe.
 */
final class Tenants {
    private static final long ODD = 0x9E3779B97F4A7C15L; // near 2^64 over the golden ratio: spreads the ids
    private static final long IDS = 1L << 33;
    private static final double PERIOD_MS = 1000;
    private static final double MS_PER_SECOND = 1000;

    private final int count;
    private final int fleet;
    private final int spread;
    private final List<Plan> plans;
    private final int[] period; // by tenant, the latest in which it used anything
    private final float[] unitsInPeriod;
    private final float[] unitsInPeriodBefore;

    Tenants(int count, int fleet, int spread, List<Plan> plans) {
        this.count = count;
        this.fleet = fleet;
        this.spread = spread;
        this.plans = plans;
        this.period = new int[count];
        this.unitsInPeriod = new float[count];
        this.unitsInPeriodBefore = new float[count];
    }

    /** How many tenants have a gateway in their replica set. */
    int countAt(int gateway) {
        return (int) Math.min(count, firstFrom(gateway + 1) - firstFrom(gateway + 1 - spread));
    }

    /** The tenant at a position, from 0, among those of a gateway. */
    int tenantAt(int gateway, int position) {
        return (int) Math.floorMod(firstFrom(gateway + 1 - spread) + position, (long) count);
    }

    /** The least tenant whose replica set begins at this gateway or after it. */
    private long firstFrom(int gateway) {
        return Math.floorDiv((long) gateway * count + fleet - 1, (long) fleet);
    }

    /** The gateway at which a tenant's replica set begins. */
    int firstReplica(int tenant) {
        return (int) ((long) tenant * fleet / count);
    }

    /** The gateways in each replica set. */
    int spread() {
        return spread;
    }

    /** A tenant's id as the header gives it: a number under 2^33, another for each tenant. */
    static long id(int tenant) {
        return Math.floorMod((tenant + 1) * ODD, IDS);
    }

    Plan plan(int tenant) {
        return plans.get(tenant % plans.size());
    }

    void use(int tenant, double units, double nowMs) {
        enterPeriod(tenant, nowMs);
        unitsInPeriod[tenant] += (float) units;
    }

    /** What the meter reports now, in percent of the plan's rate and plus 1. */
    int quotaUsedPercentPlusOne(int tenant, double nowMs) {
        enterPeriod(tenant, nowMs);
        return 1
                + (int) (100 * unitsInPeriodBefore[tenant] / plan(tenant).unitsPerSecond() / PERIOD_MS * MS_PER_SECOND);
    }

    private void enterPeriod(int tenant, double nowMs) {
        int now = (int) (nowMs / PERIOD_MS);
        if (now != period[tenant]) {
            unitsInPeriodBefore[tenant] = now == period[tenant] + 1 ? unitsInPeriod[tenant] : 0;
            unitsInPeriod[tenant] = 0;
            period[tenant] = now;
        }
    }
}
