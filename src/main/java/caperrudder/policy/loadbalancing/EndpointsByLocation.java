package caperrudder.policy.loadbalancing;

import caperrudder.api.Host;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Usable endpoints by zone and, within a zone, by cell: the hosts that drop repeats of one idempotency key. */
final class EndpointsByLocation {
    private final Map<String, Map<Integer, RankedEndpoints>> zones = new TreeMap<>();

    void add(int key, Endpoint endpoint) {
        zones.computeIfAbsent(endpoint.host().zone(), zone -> new TreeMap<>())
                .computeIfAbsent(endpoint.host().cell(), cell -> new RankedEndpoints())
                .add(key, endpoint);
    }

    /** Drops an endpoint that was added while its host stood in the same zone and cell. */
    void remove(int key, Endpoint endpoint) {
        Host host = endpoint.host();
        Map<Integer, RankedEndpoints> cells = zones.get(host.zone());
        RankedEndpoints cell = cells.get(host.cell());
        cell.remove(key, endpoint);
        if (cell.size() == 0) cells.remove(host.cell());
        if (cells.isEmpty()) zones.remove(host.zone());
    }

    /** The endpoints of a host's zone, a part for each cell. */
    Collection<RankedEndpoints> inZoneOf(Host host) {
        return zones.getOrDefault(host.zone(), Map.of()).values();
    }

    /** The endpoints of a host's cell; no part where there is none. */
    Collection<RankedEndpoints> inCellOf(Host host) {
        RankedEndpoints cell = zones.getOrDefault(host.zone(), Map.of()).get(host.cell());
        return cell == null ? List.of() : List.of(cell);
    }

    /** See {@link RankedEndpoints#visited}. */
    long visited() {
        return zones.values().stream()
                .flatMap(cells -> cells.values().stream())
                .mapToLong(RankedEndpoints::visited)
                .sum();
    }
}
