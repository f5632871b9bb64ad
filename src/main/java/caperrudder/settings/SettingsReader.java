package caperrudder.settings;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.Limits;
import caperrudder.api.Plan;
import caperrudder.api.RequestClass;
import caperrudder.api.Rules;
import caperrudder.api.Settings;
import caperrudder.api.Sharing;
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
    public static Settings read(Fields fields) {
        Limits limits = limits(fields);
        Rules rules = rules(fields);
        Sharing sharing = sharing(fields);
        return new Settings(
                fields.wholeNumber("rng_seed"),
                fields.integer("ordinal"),
                fields.integer("balancers"),
                fields.text("az", ""),
                fields.text("discovery", "automatic").equals(DISCOVERY_BY_SUBSCRIPTION),
                classes(fields),
                plans(fields),
                loadReportFields(fields),
                limits,
                rules,
                sharing);
    }

    private static Limits limits(Fields fields) {
        return new Limits(
                fields.integer("limits.max_attempts", 1),
                fields.flag("limits.may_duplicate", false),
                fields.flag("limits.cancel", false),
                fields.flag("limits.probes", false),
                fields.flag("limits.peer_messages", false),
                fields.flag("limits.retry_after", false),
                fields.number("limits.max_retry_after_ms", 0),
                fields.number("limits.connect_timeout_ms", 0));
    }

    private static Rules rules(Fields fields) {
        return new Rules(
                fields.number("rules.answer_slack_ms", 0),
                fields.number("rules.drain_grace_ms", 0),
                fields.number("rules.fall_multiple", 1),
                fields.number("rules.fall_ms", 0),
                fields.number("rules.cold_from", 0),
                fields.number("rules.warm_within_ms", 0),
                fields.number("rules.ask_within_ms", 0));
    }

    private static Sharing sharing(Fields fields) {
        return new Sharing(
                fields.flag("specifics.counter", false),
                fields.number("specifics.counter_price", 0),
                fields.number("specifics.meter_period_ms", 0),
                fields.flag("specifics.post_paid", false),
                fields.number("specifics.max_units", 1),
                fields.number("specifics.mail_per_s", 0),
                fields.number("costs.peer", 0),
                fields.number("costs.probe", 0),
                fields.number("costs.cross_zone", 0));
    }

    private static List<String> loadReportFields(Fields fields) {
        String names = fields.text("telemetry.names", "");
        return names.isEmpty() ? List.of() : List.of(names.split(","));
    }

    private static List<RequestClass> classes(Fields fields) {
        List<RequestClass> classes = new ArrayList<>();
        int count = fields.integer("classes.count");
        for (int i = 0; i < count; i++) {
            classes.add(requestClass(fields, "classes." + i + "."));
        }
        return List.copyOf(classes);
    }

    private static RequestClass requestClass(Fields fields, String prefix) {
        return new RequestClass(
                fields.text(prefix + "name"),
                idempotency(fields, prefix + "effect"),
                deduplicationScope(fields, prefix + "key_scope"),
                fields.number(prefix + "window_ms", 0),
                fields.number(prefix + "goal_time_ms"),
                fields.number(prefix + "hard_limit_ms"),
                fields.number(prefix + "worth", 1),
                fields.number(prefix + "late_value", 0),
                fields.flag(prefix + "streaming", false));
    }

    private static List<Plan> plans(Fields fields) {
        List<Plan> plans = new ArrayList<>();
        int count = fields.integer("plans.count", 0);
        for (int i = 0; i < count; i++) {
            plans.add(plan(fields, "plans." + i + "."));
        }
        return List.copyOf(plans);
    }

    private static Plan plan(Fields fields, String prefix) {
        return new Plan(
                fields.text(prefix + "name"),
                fields.number(prefix + "units_per_s", 0),
                fields.number(prefix + "depth", 0),
                fields.integer(prefix + "at_once", 0),
                fields.number(prefix + "value_factor", 1),
                fields.number(prefix + "over_worth", 0),
                fields.number(prefix + "excess_cost", 0),
                fields.number(prefix + "cap_rate", 0),
                fields.number(prefix + "never_over_depth", 0),
                fields.number(prefix + "cap_slack", 0));
    }

    private static Idempotency idempotency(Fields fields, String name) {
        String value = fields.text(name);
        return switch (value) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "once" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw FieldException.malformed(name, "repeatable, by_key or once", value);
        };
    }

    private static DeduplicationScope deduplicationScope(Fields fields, String name) {
        String value = fields.text(name, "all");
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw FieldException.malformed(name, "all, zone or cell", value);
        };
    }
}
