package caperrudder.scale;

import caperrudder.api.Settings;
import caperrudder.settings.Fields;
import caperrudder.settings.SettingsReader;
import java.util.Map;
import java.util.TreeMap;

/** The settings of one gateway of a fleet under measurement, by the names that a real gateway reads them by. */
final class FleetSettings {
    /** How gateways learn what the others let in. */
    enum Sharing {
        METER,
        PEERS
    }

    static final int MAX_ATTEMPTS = 4;
    static final double CONNECT_TIMEOUT_MS = 250;
    private static final String[][] CLASSES = {
        {"read", "repeatable", "all", "1"}, {"order", "by_key", "all", "2"}, {"pay", "once", "all", "3"}
    };
    private static final double[][] PLANS = {{1, 4}, {4, 12}, {12, 24}}; // units a second, depth
    static final String[] PLAN_NAMES = {"small", "middle", "large"};

    private FleetSettings() {}

    static Settings of(int gateway, int fleet, String zone, Sharing sharing, long seed) {
        Map<String, String> pairs = pairs(gateway, fleet, zone, sharing);
        pairs.put("rng_seed", Long.toString(seed));
        return SettingsReader.read(new Fields(pairs));
    }

    /** The classes by turns. */
    static String className(long number) {
        return CLASSES[(int) (number % CLASSES.length)][0];
    }

    static Map<String, String> pairs(int gateway, int fleet, String zone, Sharing sharing) {
        Map<String, String> p = new TreeMap<>();
        p.put("ordinal", Integer.toString(gateway));
        p.put("balancers", Integer.toString(fleet));
        p.put("az", zone);
        p.put("discovery", "automatic");
        p.put("limits.max_attempts", Integer.toString(MAX_ATTEMPTS));
        p.put("limits.cancel", "true");
        p.put("limits.retry_after", "true");
        p.put("limits.max_retry_after_ms", "500");
        p.put("limits.connect_timeout_ms", Double.toString(CONNECT_TIMEOUT_MS));
        p.put("limits.peer_messages", Boolean.toString(sharing == Sharing.PEERS));
        p.put("rules.answer_slack_ms", "8");
        p.put("rules.drain_grace_ms", "500");
        p.put("rules.fall_multiple", "2");
        p.put("rules.fall_ms", "1000");
        p.put("rules.cold_from", "0.2");
        p.put("rules.warm_within_ms", "10000");
        p.put("telemetry.names", "inflight,queue,util");
        p.put("specifics.max_units", "2");
        p.put(
                sharing == Sharing.PEERS ? "specifics.mail_per_s" : "specifics.meter_period_ms",
                sharing == Sharing.PEERS ? "60" : "1000");
        p.put("classes.count", Integer.toString(CLASSES.length));
        for (int i = 0; i < CLASSES.length; i++) {
            String at = "classes." + i + ".";
            p.put(at + "name", CLASSES[i][0]);
            p.put(at + "effect", CLASSES[i][1]);
            p.put(at + "key_scope", CLASSES[i][2]);
            p.put(at + "worth", CLASSES[i][3]);
            p.put(at + "window_ms", "5000");
            p.put(at + "goal_time_ms", "1000");
            p.put(at + "hard_limit_ms", "3000");
        }
        p.put("plans.count", Integer.toString(PLANS.length));
        for (int i = 0; i < PLANS.length; i++) {
            String at = "plans." + i + ".";
            p.put(at + "name", PLAN_NAMES[i]);
            p.put(at + "units_per_s", Double.toString(PLANS[i][0]));
            p.put(at + "depth", Double.toString(PLANS[i][1]));
            p.put(at + "excess_cost", "1");
        }
        return p;
    }
}
