package caperrudder.policy;

import caperrudder.api.Plan;
import java.util.Map;
import java.util.TreeMap;

/** What all gateways together have let in of one customer: the state that counts, and how it stood before. */
final class ActualUse {
    private final Plan plan;
    private final TreeMap<Double, Double> levels = new TreeMap<>();
    private final TreeMap<Double, Integer> outs = new TreeMap<>();
    private final TreeMap<Double, Double> units = new TreeMap<>();

    ActualUse(Plan plan) {
        this.plan = plan;
        levels.put(0.0, plan.burstUnits());
        outs.put(0.0, 0);
    }

    double level(double at) {
        Map.Entry<Double, Double> last = levels.floorEntry(Math.max(0, at));
        return Math.min(
                plan.burstUnits(), last.getValue() + plan.unitsPerSecond() * (Math.max(0, at) - last.getKey()) / 1000);
    }

    int out(double at) {
        return outs.floorEntry(Math.max(0, at)).getValue();
    }

    boolean holds(double at, double wanted) {
        return (plan.unitsPerSecond() <= 0 || level(at) >= wanted)
                && (plan.concurrencyLimit() <= 0 || out(at) < plan.concurrencyLimit());
    }

    /** As the bench counts it: at least half of the quota is unused. */
    boolean halfUnused(double at, double wanted) {
        return (plan.unitsPerSecond() <= 0 || level(at) >= Math.max(wanted, plan.burstUnits() / 2))
                && (plan.concurrencyLimit() <= 0 || out(at) <= plan.concurrencyLimit() / 2);
    }

    /** Whether it was inside the quota; what is beyond takes nothing. */
    boolean take(double at, double wanted) {
        boolean inside = holds(at, wanted);
        if (plan.unitsPerSecond() > 0) levels.put(at, level(at) - (inside ? wanted : 0));
        units.merge(at, wanted, Double::sum);
        outs.put(at, out(at) + 1);
        return inside;
    }

    /** A further attempt of a try that has taken its units. */
    void again(double at) {
        outs.put(at, out(at) + 1);
    }

    void ended(double at) {
        outs.put(at, out(at) - 1);
    }

    /** What the meter tells: 1 + use in the last finished period whose figure has come, in percent of the quota. */
    int metered(double now) {
        double end =
                Math.floor((now - QuotaSimulation.LATE_MS) / QuotaSimulation.PERIOD_MS) * QuotaSimulation.PERIOD_MS;
        double begin = end - QuotaSimulation.PERIOD_MS;
        if (end <= 0) return 1;
        if (plan.unitsPerSecond() > 0) {
            double used = units.subMap(begin, end).values().stream()
                    .mapToDouble(u -> u)
                    .sum();
            return 1 + (int) (100 * used * 1000 / QuotaSimulation.PERIOD_MS / plan.unitsPerSecond());
        }
        int peak =
                outs.subMap(begin, end).values().stream().mapToInt(o -> o).max().orElse(0);
        return 1 + 100 * Math.max(peak, out(begin)) / plan.concurrencyLimit();
    }
}
