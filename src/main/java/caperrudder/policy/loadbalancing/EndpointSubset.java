package caperrudder.policy.loadbalancing;

import java.util.List;

/**
 * The subset of the usable endpoints that this gateway prefers, selected by its index in the fleet. A subset gives it
 * more responses and warm connections at each endpoint, and keeps hundreds of gateways from filling the connection
 * tables of the hosts.
 *
 * <p>In a small fleet, subsets follow one another in the order of the endpoints. In a large fleet, a subset is an arc
 * of a hash ring, so that a new host changes only the subsets whose arcs contain it. Arcs with few endpoints would
 * differ too much in size, so subsets are then ranges of equal size at equal distances instead.
 */
final class EndpointSubset {
    private static final int MIN_SUBSET_SIZE = 8;
    private static final int TARGET_GATEWAYS_PER_ENDPOINT = 6; // at least; subsets grow where it would be fewer
    private static final int MAX_SMALL_FLEET_GATEWAYS = 100; // in larger ones, a change must not shift all subsets
    private static final int MIN_ARC_ENDPOINTS = 64; // arcs with fewer endpoints differ too much in size

    private final EndpointTable table;
    private final int gatewayIndex;
    private final int gatewayCount;
    private List<Endpoint> endpoints = List.of();
    private Endpoint latestStarted; // null if the subset is empty and no start was recorded

    /** Creates the subset of a gateway, whose index counts from 0, in a fleet of at least one gateway. */
    EndpointSubset(EndpointTable table, int gatewayIndex, int gatewayCount) {
        this.table = table;
        this.gatewayIndex = gatewayIndex;
        this.gatewayCount = gatewayCount;
    }

    /** Returns the order of endpoints for a fleet of {@code gatewayCount} gateways. */
    static EndpointOrder orderFor(int gatewayCount) {
        return new EndpointOrder(isLargeFleet(gatewayCount));
    }

    private static boolean isLargeFleet(int gatewayCount) {
        return gatewayCount > MAX_SMALL_FLEET_GATEWAYS;
    }

    /**
     * Selects the endpoints from the table. The list stays the same instance if its endpoints have not changed.
     *
     * @param recomputeLatestStarted whether to determine which endpoint started last even if the list is unchanged
     */
    void refresh(boolean recomputeLatestStarted) {
        List<Endpoint> selected = select();
        if (selected != endpoints || recomputeLatestStarted) latestStarted = latestStarted(selected);
        endpoints = selected;
    }

    private List<Endpoint> select() {
        int usable = table.usableCount();
        int size = Math.max(MIN_SUBSET_SIZE, TARGET_GATEWAYS_PER_ENDPOINT * usable / gatewayCount);
        boolean largeFleet = isLargeFleet(gatewayCount);
        if (largeFleet && size >= MIN_ARC_ENDPOINTS) {
            return table.usableRange().byArc(gatewayIndex, TARGET_GATEWAYS_PER_ENDPOINT, gatewayCount, MIN_SUBSET_SIZE);
        }
        long index = gatewayIndex;
        long first = largeFleet ? index * usable / gatewayCount : index * size % Math.max(1, usable);
        return table.usableRange().byRank((int) first, Math.min(size, usable));
    }

    private static Endpoint latestStarted(List<Endpoint> endpoints) {
        Endpoint latest = null;
        for (Endpoint endpoint : endpoints) {
            if (latest == null || endpoint.startedAtMs() > latest.startedAtMs()) latest = endpoint;
        }
        return latest;
    }

    /**
     * Records that an endpoint has started. {@link #isWarm} takes it into account even if it is outside the subset,
     * until a refresh determines which endpoint of the subset started last.
     */
    void recordEndpointStart(Endpoint endpoint) {
        if (latestStarted == null || endpoint.startedAtMs() > latestStarted.startedAtMs()) latestStarted = endpoint;
    }

    /** Returns the endpoints of the subset, an unmodifiable list. */
    List<Endpoint> endpoints() {
        return endpoints;
    }

    /** Returns whether all endpoints of the subset have full capacity. */
    boolean isWarm(SlowStart slowStart, double now) {
        return latestStarted == null || !slowStart.isWarmingUp(latestStarted, now);
    }
}
