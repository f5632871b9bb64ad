package caperrudder.policy;

import caperrudder.api.CoordinationSettings;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.Plan;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.api.SiteLimits;
import caperrudder.api.SiteRules;
import java.util.List;

/**
 * Settings of the gateways of a seeded world. Their request classes have each effect and each scope of idempotency
 * keys, their plans each kind of limit; how gateways learn of each other's use differs from world to world.
 */
record WorldSettings(long seed, int gateways, SiteLimits limits, SiteRules rules, CoordinationSettings coordination) {
    static final RequestClass LOOKUP =
            new RequestClass("lookup", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1500, 1, 0.2, false);
    static final RequestClass ORDER =
            new RequestClass("order", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 900, 400, 1500, 2, 0, false);
    static final RequestClass TRANSFER = new RequestClass(
            "transfer", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 700, 400, 1500, 3, 0, false);
    static final RequestClass BOOKING = new RequestClass(
            "booking", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 700, 400, 1500, 2, 0, false);
    static final RequestClass PAYMENT = new RequestClass(
            "payment", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, 500, 2000, 3, 0.6, false);
    static final RequestClass FEED =
            new RequestClass("feed", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 2500, 1, 0.5, true);
    static final List<RequestClass> CLASSES = List.of(LOOKUP, ORDER, TRANSFER, BOOKING, PAYMENT, FEED);

    static final Plan SMALL = new Plan("small", 4, 12, 0, 1, 0, 1, 0, 0, 0);
    static final Plan CAPPED = new Plan("capped", 40, 60, 0, 1, 0, 1, 20, 40, 4);
    static final Plan OPEN = new Plan("open", 0, 0, 3, 1, 0, 1, 0, 0, 0);
    static final Plan BEYOND = new Plan("beyond", 5, 10, 0, 1, 1, 0.2, 0, 0, 0); // what exceeds it pays
    static final Plan BOTH = new Plan("both", 20, 40, 4, 1, 0.1, 0.5, 0, 0, 0);
    static final Plan FREE = new Plan("free", 1e6, 1e6, 0, 1, 0, 1, 0, 0, 0);
    static final List<Plan> PLANS = List.of(SMALL, CAPPED, OPEN, BEYOND, BOTH, FREE);

    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final List<String> REPORTS = List.of("util", "inflight");
    private static final double METER_PERIOD_MS = 1000;

    /** Gateways that send messages to each other. */
    static WorldSettings withPeers(long seed, int gateways) {
        return new WorldSettings(
                seed,
                gateways,
                new SiteLimits(4, false, true, false, true, true, 1500, 250),
                new SiteRules(8, 500, 2, 1000, 0.2, 10_000, 0),
                new CoordinationSettings(false, 0, 0, false, 4, 100, 0.01, 0.01, 0.01));
    }

    /** Gateways that learn of each other's use by a meter alone. */
    static WorldSettings withMeter(long seed, int gateways) {
        return withPeers(seed, gateways)
                .with(new SiteLimits(4, false, true, false, false, true, 1500, 250))
                .with(new CoordinationSettings(false, 0, METER_PERIOD_MS, false, 4, 0, 0, 0, 0));
    }

    /** As with a meter; responses report the actual units. */
    static WorldSettings postPaid(long seed, int gateways) {
        return withMeter(seed, gateways).with(new CoordinationSettings(false, 0, METER_PERIOD_MS, true, 4, 0, 0, 0, 0));
    }

    WorldSettings with(SiteLimits other) {
        return new WorldSettings(seed, gateways, other, rules, coordination);
    }

    WorldSettings with(SiteRules other) {
        return new WorldSettings(seed, gateways, limits, other, coordination);
    }

    WorldSettings with(CoordinationSettings other) {
        return new WorldSettings(seed, gateways, limits, rules, other);
    }

    static String zone(int number) {
        return ZONES.get(number % ZONES.size());
    }

    /** Of one gateway; each of its processes has a seed of its own. */
    Settings of(int number, int process) {
        return new Settings(
                seed * 1000 + process,
                number,
                gateways,
                zone(number),
                true,
                CLASSES,
                PLANS,
                REPORTS,
                limits,
                rules,
                coordination);
    }
}
