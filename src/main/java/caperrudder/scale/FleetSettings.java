package caperrudder.scale;

import caperrudder.api.Settings;
import caperrudder.settings.FieldValues;
import caperrudder.settings.SettingsReader;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The settings of one gateway of a fleet under measurement, by the names that a real gateway reads them by. */
final class FleetSettings {
    /** How gateways learn what the others admitted. */
    enum UsageSharing {
        METER,
        PEERS
    }

    /** The most attempts of one request. */
    static final int MAX_ATTEMPTS = 4;

    /** For one attempt. */
    static final double CONNECT_TIMEOUT_MS = 250;

    private record ClassSettings(String name, String effect, String worth) {}

    private record PlanSettings(String name, double unitsPerSecond, double burstUnits) {}

    private static final List<ClassSettings> CLASSES = List.of(
            new ClassSettings("read", "repeatable", "1"),
            new ClassSettings("order", "by_key", "2"),
            new ClassSettings("pay", "once", "3"));
    private static final List<PlanSettings> PLANS = List.of(
            new PlanSettings("small", 1, 4), new PlanSettings("middle", 4, 12), new PlanSettings("large", 12, 24));

    /** The plan with the highest rate. */
    static final String LARGEST_PLAN = PLANS.get(PLANS.size() - 1).name();

    private FleetSettings() {}

    /** The settings of a gateway in a fleet of so many. */
    static Settings of(int gateway, int fleet, String zone, UsageSharing sharing, long seed) {
        Map<String, String> pairs = pairs(gateway, fleet, zone, sharing);
        pairs.put("rng_seed", Long.toString(seed));
        return SettingsReader.read(new FieldValues(pairs));
    }

    /** The class of a request, by turns. */
    static String className(long requestNumber) {
        return CLASSES.get((int) (requestNumber % CLASSES.size())).name();
    }

    /** The settings by name, without a seed. */
    static Map<String, String> pairs(int gateway, int fleet, String zone, UsageSharing sharing) {
        Map<String, String> pairs = new TreeMap<>();
        pairs.put("ordinal", Integer.toString(gateway));
        pairs.put("balancers", Integer.toString(fleet));
        pairs.put("az", zone);
        pairs.put("discovery", "automatic");
        putLimits(pairs, sharing);
        putRules(pairs);
        pairs.put("telemetry.names", "inflight,queue,util");
        pairs.put("specifics.max_units", "2");
        switch (sharing) {
            case METER -> pairs.put("specifics.meter_period_ms", "1000");
            case PEERS -> pairs.put("specifics.mail_per_s", "60");
        }
        putClasses(pairs);
        putPlans(pairs);
        return pairs;
    }

    private static void putLimits(Map<String, String> pairs, UsageSharing sharing) {
        pairs.put("limits.max_attempts", Integer.toString(MAX_ATTEMPTS));
        pairs.put("limits.cancel", "true");
        pairs.put("limits.retry_after", "true");
        pairs.put("limits.max_retry_after_ms", "500");
        pairs.put("limits.connect_timeout_ms", Double.toString(CONNECT_TIMEOUT_MS));
        pairs.put("limits.peer_messages", Boolean.toString(sharing == UsageSharing.PEERS));
    }

    private static void putRules(Map<String, String> pairs) {
        pairs.put("rules.answer_slack_ms", "8");
        pairs.put("rules.drain_grace_ms", "500");
        pairs.put("rules.fall_multiple", "2");
        pairs.put("rules.fall_ms", "1000");
        pairs.put("rules.cold_from", "0.2");
        pairs.put("rules.warm_within_ms", "10000");
    }

    private static void putClasses(Map<String, String> pairs) {
        pairs.put("classes.count", Integer.toString(CLASSES.size()));
        for (int i = 0; i < CLASSES.size(); i++) {
            String prefix = "classes." + i + ".";
            pairs.put(prefix + "name", CLASSES.get(i).name());
            pairs.put(prefix + "effect", CLASSES.get(i).effect());
            pairs.put(prefix + "key_scope", "all");
            pairs.put(prefix + "worth", CLASSES.get(i).worth());
            pairs.put(prefix + "window_ms", "5000");
            pairs.put(prefix + "goal_time_ms", "1000");
            pairs.put(prefix + "hard_limit_ms", "3000");
        }
    }

    private static void putPlans(Map<String, String> pairs) {
        pairs.put("plans.count", Integer.toString(PLANS.size()));
        for (int i = 0; i < PLANS.size(); i++) {
            String prefix = "plans." + i + ".";
            pairs.put(prefix + "name", PLANS.get(i).name());
            pairs.put(prefix + "units_per_s", Double.toString(PLANS.get(i).unitsPerSecond()));
            pairs.put(prefix + "depth", Double.toString(PLANS.get(i).burstUnits()));
            pairs.put(prefix + "excess_cost", "1");
        }
    }
}
