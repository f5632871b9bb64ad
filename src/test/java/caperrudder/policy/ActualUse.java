package caperrudder.policy;

import caperrudder.api.Plan;
import java.util.Map;
import java.util.TreeMap;

/** What all gateways together have admitted of one customer: the actual state, and how it stood before. */
final class ActualUse {
    private final Plan plan;
    private final TreeMap<Double, Double> levels = new TreeMap<>();
    private final TreeMap<Double, Integer> openCounts = new TreeMap<>();
    private final TreeMap<Double, Double> units = new TreeMap<>();

    ActualUse(Plan plan) {
        this.plan = plan;
        levels.put(0.0, plan.burstUnits());
        openCounts.put(0.0, 0);
    }

    double level(double at) {
        Map.Entry<Double, Double> last = levels.floorEntry(Math.max(0, at));
        return Math.min(
                plan.burstUnits(), last.getValue() + plan.unitsPerSecond() * (Math.max(0, at) - last.getKey()) / 1000);
    }

    int openAt(double at) {
        return openCounts.floorEntry(Math.max(0, at)).getValue();
    }

    boolean admits(double at, double wanted) {
        return (plan.unitsPerSecond() <= 0 || level(at) >= wanted)
                && (plan.concurrencyLimit() <= 0 || openAt(at) < plan.concurrencyLimit());
    }

    /** As the bench counts it: at least half of the quota is unused. */
    boolean isHalfUnused(double at, double wanted) {
        return (plan.unitsPerSecond() <= 0 || level(at) >= Math.max(wanted, plan.burstUnits() / 2))
                && (plan.concurrencyLimit() <= 0 || openAt(at) <= plan.concurrencyLimit() / 2);
    }

    /** Whether it was inside the quota; excess takes nothing from the bucket. */
    boolean take(double at, double wanted) {
        boolean inside = admits(at, wanted);
        if (plan.unitsPerSecond() > 0) levels.put(at, level(at) - (inside ? wanted : 0));
        units.merge(at, wanted, Double::sum);
        openCounts.put(at, openAt(at) + 1);
        return inside;
    }

    /** A retry of a request that has taken its units. */
    void retry(double at) {
        openCounts.put(at, openAt(at) + 1);
    }

    void ended(double at) {
        openCounts.put(at, openAt(at) - 1);
    }

    /** The meter's figure: 1 + use in the last finished period whose figure has arrived, in percent of the quota. */
    int metered(double now) {
        double end =
                Math.floor((now - QuotaSimulation.DELAY_MS) / QuotaSimulation.PERIOD_MS) * QuotaSimulation.PERIOD_MS;
        double begin = end - QuotaSimulation.PERIOD_MS;
        if (end <= 0) return 1;
        if (plan.unitsPerSecond() > 0) {
            double used = units.subMap(begin, end).values().stream()
                    .mapToDouble(u -> u)
                    .sum();
            return 1 + (int) (100 * used * 1000 / QuotaSimulation.PERIOD_MS / plan.unitsPerSecond());
        }
        int peak = openCounts.subMap(begin, end).values().stream()
                .mapToInt(o -> o)
                .max()
                .orElse(0);
        return 1 + 100 * Math.max(peak, openAt(begin)) / plan.concurrencyLimit();
    }
}
