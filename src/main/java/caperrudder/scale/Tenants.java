package caperrudder.scale;

import caperrudder.api.Plan;
import java.util.List;

/**
 * The tenants, and the meter that tells what each uses: with every answer its use of the last finished second, in
 * percent of its plan's rate and plus 1, as the protocol's page gives it. Tenants' sets of gateways follow each other
 * round the fleet, so that those of one gateway are numbers in a row.
 */
final class Tenants {
    private static final long ODD = 0x9E3779B97F4A7C15L;
    private static final long IDS = 1L << 33;
    private static final double PERIOD_MS = 1000;

    private final int count;
    private final int fleet;
    private final int spread;
    private final List<Plan> plans;
    private final int[] period; // the latest in which the tenant used anything
    private final float[] used; // in that
    private final float[] usedBefore; // in the one before

    Tenants(int count, int fleet, int spread, List<Plan> plans) {
        this.count = count;
        this.fleet = fleet;
        this.spread = spread;
        this.plans = plans;
        this.period = new int[count];
        this.used = new float[count];
        this.usedBefore = new float[count];
    }

    /** How many tenants have a gateway in their set. */
    int of(int gateway) {
        return (int) Math.min(count, from(gateway + 1) - from(gateway + 1 - spread));
    }

    /** One of them, by its place among them. */
    int number(int gateway, int place) {
        return (int) Math.floorMod(from(gateway + 1 - spread) + place, (long) count);
    }

    /** The least tenant whose set begins at this gateway or after it. */
    private long from(int gateway) {
        return Math.floorDiv((long) gateway * count + fleet - 1, (long) fleet);
    }

    int first(int tenant) {
        return (int) ((long) tenant * fleet / count);
    }

    int spread() {
        return spread;
    }

    /** As the header gives it: a number under 2^33, another for each tenant. */
    static long id(int tenant) {
        return Math.floorMod((tenant + 1) * ODD, IDS);
    }

    Plan plan(int tenant) {
        return plans.get(tenant % plans.size());
    }

    void uses(int tenant, double units, double nowMs) {
        turn(tenant, nowMs);
        used[tenant] += (float) units;
    }

    /** What the meter tells now. */
    int usedPct(int tenant, double nowMs) {
        turn(tenant, nowMs);
        return 1 + (int) (100 * usedBefore[tenant] / plan(tenant).unitsPerSecond() / PERIOD_MS * 1000);
    }

    private void turn(int tenant, double nowMs) {
        int now = (int) (nowMs / PERIOD_MS);
        if (now != period[tenant]) {
            usedBefore[tenant] = now == period[tenant] + 1 ? used[tenant] : 0;
            used[tenant] = 0;
            period[tenant] = now;
        }
    }
}
