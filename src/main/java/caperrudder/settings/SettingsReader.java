package caperrudder.settings;

import caperrudder.api.CoordinationSettings;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.Plan;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.api.SiteLimits;
import caperrudder.api.SiteRules;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the settings of one gateway from the fields that WIRE defines. A missing optional field has the default that is
 * given here, usually 0 or false, which turns the feature off. Times are in milliseconds, and rates are per second.
 */
public final class SettingsReader {
    private static final String DISCOVERY_BY_SUBSCRIPTION = "subscribe";

    private SettingsReader() {}

    /**
     * Returns the settings that the fields describe.
     *
     * @throws FieldException for the first field that is required and missing, or that has an invalid value
     */
    public static Settings read(FieldValues fields) {
        SiteLimits limits = limits(fields);
        SiteRules rules = rules(fields);
        CoordinationSettings coordination = coordination(fields);
        return new Settings(
                fields.getLong("rng_seed"),
                fields.getInt("ordinal"),
                fields.getInt("balancers"),
                fields.getString("az", ""),
                fields.getString("discovery", "automatic").equals(DISCOVERY_BY_SUBSCRIPTION),
                classes(fields),
                plans(fields),
                loadReportFields(fields),
                limits,
                rules,
                coordination);
    }

    private static SiteLimits limits(FieldValues fields) {
        return new SiteLimits(
                fields.getInt("limits.max_attempts", 1),
                fields.getBoolean("limits.may_duplicate", false),
                fields.getBoolean("limits.cancel", false),
                fields.getBoolean("limits.probes", false),
                fields.getBoolean("limits.peer_messages", false),
                fields.getBoolean("limits.retry_after", false),
                fields.getDouble("limits.max_retry_after_ms", 0),
                fields.getDouble("limits.connect_timeout_ms", 0));
    }

    private static SiteRules rules(FieldValues fields) {
        return new SiteRules(
                fields.getDouble("rules.answer_slack_ms", 0),
                fields.getDouble("rules.drain_grace_ms", 0),
                fields.getDouble("rules.fall_multiple", 1),
                fields.getDouble("rules.fall_ms", 0),
                fields.getDouble("rules.cold_from", 0),
                fields.getDouble("rules.warm_within_ms", 0),
                fields.getDouble("rules.ask_within_ms", 0));
    }

    private static CoordinationSettings coordination(FieldValues fields) {
        return new CoordinationSettings(
                fields.getBoolean("specifics.counter", false),
                fields.getDouble("specifics.counter_price", 0),
                fields.getDouble("specifics.meter_period_ms", 0),
                fields.getBoolean("specifics.post_paid", false),
                fields.getDouble("specifics.max_units", 1),
                fields.getDouble("specifics.mail_per_s", 0),
                fields.getDouble("costs.peer", 0),
                fields.getDouble("costs.probe", 0),
                fields.getDouble("costs.cross_zone", 0));
    }

    private static List<String> loadReportFields(FieldValues fields) {
        String names = fields.getString("telemetry.names", "");
        return names.isEmpty() ? List.of() : List.of(names.split(","));
    }

    private static List<RequestClass> classes(FieldValues fields) {
        List<RequestClass> classes = new ArrayList<>();
        int count = fields.getInt("classes.count");
        for (int i = 0; i < count; i++) {
            classes.add(requestClass(fields, "classes." + i + "."));
        }
        return List.copyOf(classes);
    }

    private static RequestClass requestClass(FieldValues fields, String prefix) {
        return new RequestClass(
                fields.getString(prefix + "name"),
                idempotency(fields, prefix + "effect"),
                deduplicationScope(fields, prefix + "key_scope"),
                fields.getDouble(prefix + "window_ms", 0),
                fields.getDouble(prefix + "goal_time_ms"),
                fields.getDouble(prefix + "hard_limit_ms"),
                fields.getDouble(prefix + "worth", 1),
                fields.getDouble(prefix + "late_value", 0),
                fields.getBoolean(prefix + "streaming", false));
    }

    private static List<Plan> plans(FieldValues fields) {
        List<Plan> plans = new ArrayList<>();
        int count = fields.getInt("plans.count", 0);
        for (int i = 0; i < count; i++) {
            plans.add(plan(fields, "plans." + i + "."));
        }
        return List.copyOf(plans);
    }

    private static Plan plan(FieldValues fields, String prefix) {
        return new Plan(
                fields.getString(prefix + "name"),
                fields.getDouble(prefix + "units_per_s", 0),
                fields.getDouble(prefix + "depth", 0),
                fields.getInt(prefix + "at_once", 0),
                fields.getDouble(prefix + "value_factor", 1),
                fields.getDouble(prefix + "over_worth", 0),
                fields.getDouble(prefix + "excess_cost", 0),
                fields.getDouble(prefix + "cap_rate", 0),
                fields.getDouble(prefix + "never_over_depth", 0),
                fields.getDouble(prefix + "cap_slack", 0));
    }

    private static Idempotency idempotency(FieldValues fields, String name) {
        String value = fields.getString(name);
        return switch (value) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "once" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw FieldException.malformed(name, "repeatable, by_key or once", value);
        };
    }

    private static DeduplicationScope deduplicationScope(FieldValues fields, String name) {
        String value = fields.getString(name, "all");
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw FieldException.malformed(name, "all, zone or cell", value);
        };
    }
}
