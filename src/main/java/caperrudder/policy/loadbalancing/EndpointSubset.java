package caperrudder.policy.loadbalancing;

import java.util.List;

/**
 * The endpoints that this gateway uses while they serve. Each gateway of a fleet keeps to some, in turn with the
 * others: that gives it more answers and warm connections at each, and hosts' connection tables do not fill where there
 * are hundreds of gateways. In a large fleet each gateway has an arc of a ring: a host that comes joins the subsets of
 * those alone in whose arcs it lies. Few hosts would lie there unevenly.
 */
final class EndpointSubset {
    private static final int MIN_ENDPOINTS = 8;
    private static final int GATEWAYS_PER_ENDPOINT = 6; // at least; subsets grow where it would be fewer
    private static final int LARGE_FLEET = 100; // gateways; in larger fleets subsets do not shift with each change
    private static final int MIN_ARC = 64; // endpoints from which an arc holds nearly as many as any other

    private final EndpointTable table;
    private final int gatewayIndex;
    private final int gatewayCount;
    private List<Endpoint> endpoints = List.of();
    private Endpoint latestStarted; // null where the subset is empty

    /** The subset of gateway {@code gatewayIndex}, from 0 on, of a fleet of {@code gatewayCount}, at least 1. */
    EndpointSubset(EndpointTable table, int gatewayIndex, int gatewayCount) {
        this.table = table;
        this.gatewayIndex = gatewayIndex;
        this.gatewayCount = gatewayCount;
    }

    /** The order of endpoints that suits a fleet of so many gateways. */
    static EndpointOrder orderFor(int gatewayCount) {
        return new EndpointOrder(isLargeFleet(gatewayCount));
    }

    private static boolean isLargeFleet(int gatewayCount) {
        return gatewayCount > LARGE_FLEET;
    }

    /** Chooses the endpoints anew from the table; where they are the same ones, so is the list. */
    void refresh(boolean recomputeLatestStarted) {
        List<Endpoint> chosen = choose();
        if (chosen != endpoints || recomputeLatestStarted) latestStarted = latestStarted(chosen);
        endpoints = chosen;
    }

    private List<Endpoint> choose() {
        int usable = table.usableCount();
        int size = Math.max(MIN_ENDPOINTS, GATEWAYS_PER_ENDPOINT * usable / gatewayCount);
        boolean largeFleet = isLargeFleet(gatewayCount);
        if (largeFleet && size >= MIN_ARC) {
            return table.range().byArc(gatewayIndex, GATEWAYS_PER_ENDPOINT, gatewayCount, MIN_ENDPOINTS);
        }
        long index = gatewayIndex;
        long first = largeFleet ? index * usable / gatewayCount : index * size % Math.max(1, usable);
        return table.range().byRank((int) first, Math.min(size, usable));
    }

    private static Endpoint latestStarted(List<Endpoint> endpoints) {
        Endpoint latest = null;
        for (Endpoint endpoint : endpoints) {
            if (latest == null || endpoint.startedAtMs() > latest.startedAtMs()) latest = endpoint;
        }
        return latest;
    }

    /** An endpoint, of the subset or not, has started: until the next count it may be the latest one. */
    void noteStarted(Endpoint endpoint) {
        if (latestStarted == null || endpoint.startedAtMs() > latestStarted.startedAtMs()) latestStarted = endpoint;
    }

    /** Unmodifiable. */
    List<Endpoint> endpoints() {
        return endpoints;
    }

    /** Whether all endpoints of the subset have full capacity. */
    boolean isWarm(SlowStart slowStart, double now) {
        return latestStarted == null || !slowStart.isWarmingUp(latestStarted, now);
    }
}
