package caperrudder.policy.loadbalancing;

import caperrudder.api.Host;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An index of the usable endpoints by zone and cell, the scopes in which hosts share a memory of idempotency keys. */
final class EndpointsByLocation {
    private final Map<String, Map<Integer, RankedEndpoints>> byZone = new TreeMap<>();

    void add(int key, Endpoint endpoint) {
        byZone.computeIfAbsent(endpoint.host().zone(), zone -> new TreeMap<>())
                .computeIfAbsent(endpoint.host().cell(), cell -> new RankedEndpoints())
                .add(key, endpoint);
    }

    /** Removes an endpoint, whose host must be in the zone and cell with which it was added. */
    void remove(int key, Endpoint endpoint) {
        Host host = endpoint.host();
        Map<Integer, RankedEndpoints> cells = byZone.get(host.zone());
        RankedEndpoints cell = cells.get(host.cell());
        cell.remove(key, endpoint);
        if (cell.size() == 0) cells.remove(host.cell());
        if (cells.isEmpty()) byZone.remove(host.zone());
    }

    /** Returns the endpoints of a host's zone, one list for each cell. */
    Collection<RankedEndpoints> inZoneOf(Host host) {
        return byZone.getOrDefault(host.zone(), Map.of()).values();
    }

    /** Returns the endpoints of a host's cell, in at most one list. */
    Collection<RankedEndpoints> inCellOf(Host host) {
        RankedEndpoints cell = byZone.getOrDefault(host.zone(), Map.of()).get(host.cell());
        return cell == null ? List.of() : List.of(cell);
    }

    /** Returns the number of endpoints visited so far in the lists that exist now. */
    long visitedCount() {
        return byZone.values().stream()
                .flatMap(cells -> cells.values().stream())
                .mapToLong(RankedEndpoints::visitedCount)
                .sum();
    }
}
