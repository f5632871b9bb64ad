package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Idempotency;
import caperrudder.api.Outcome;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.policy.PolicyHarness;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The endpoint table, the subset of a gateway, and the fallback if the subset cannot be used. */
class EndpointTableTest {
    private static final int HOSTS = 700;

    /** Returns a host. The ids of some numbers have equal hash codes. */
    private static Host host(int number, HostState state, double startedAtMs, String zone, int cell) {
        String id = number % 7 > 1 ? "h" + number : (number % 7 == 0 ? "Aa" : "BB") + number / 7;
        return new Host(id, zone, "std", cell, state, 1, startedAtMs);
    }

    private static Host host(String id, String zone, int cell) {
        return new Host(id, zone, "std", cell, HostState.RUNNING, 1, 0);
    }

    private static List<Host> hosts(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> PolicyHarness.host("h" + i, "z" + i % 4))
                .toList();
    }

    private static List<String> ids(Collection<Endpoint> endpoints) {
        return endpoints.stream().map(endpoint -> endpoint.host().id()).toList();
    }

    private static List<String> usableIds(PolicyHarness gateway) {
        return ids(RankedEndpoints.copyCircular(
                gateway.loadBalancer().table().usable(),
                0,
                gateway.loadBalancer().table().usableCount()));
    }

    /** A reference implementation of the table that scans and sorts all hosts at every change. */
    private static final class ReferenceTable {
        private record KnownHost(Host host, boolean listed, double startedAtMs) {}

        private final Map<String, KnownHost> all = new LinkedHashMap<>();
        private List<String> usableIds = List.of();
        private final List<String> subsetIds = new ArrayList<>();
        private double capacity;

        void hostsUpdated(HostListKind kind, List<Host> hosts) {
            if (kind != HostListKind.CHANGES)
                all.replaceAll((id, known) -> new KnownHost(known.host(), false, known.startedAtMs()));
            for (Host host : hosts) {
                KnownHost known = all.get(host.id());
                double startedAtMs = known == null ? Double.NEGATIVE_INFINITY : known.startedAtMs();
                all.put(
                        host.id(),
                        new KnownHost(
                                host,
                                host.state() != HostState.GONE,
                                host.startedAtMs() > 0 ? Math.max(startedAtMs, host.startedAtMs()) : startedAtMs));
            }
        }

        void refresh(double now, PolicyHarness gateway, int gatewayIndex, int gatewayCount) {
            all.values()
                    .removeIf(known -> !known.listed()
                            && gateway.loadBalancer().table().find(known.host().id()) == null);
            List<KnownHost> usable = all.values().stream()
                    .filter(known -> known.listed() && known.host().state() == HostState.RUNNING)
                    .sorted(Comparator.<KnownHost>comparingInt(
                                    known -> known.host().id().hashCode())
                            .thenComparing(known -> known.host().id()))
                    .toList();
            usableIds = usable.stream().map(known -> known.host().id()).toList();
            capacity = usable.stream()
                    .mapToDouble(known -> penalty(
                                            now,
                                            gateway.loadBalancer()
                                                    .table()
                                                    .find(known.host().id()))
                                    < 4
                            ? capacityShare(now, known.startedAtMs())
                            : 0)
                    .sum();
            subsetIds.clear();
            int subsetSize = Math.max(8, 6 * usableIds.size() / gatewayCount);
            for (int i = 0; i < Math.min(subsetSize, usableIds.size()); i++) {
                subsetIds.add(usableIds.get((int) (((long) gatewayIndex * subsetSize + i) % usableIds.size())));
            }
        }

        private static double penalty(double now, Endpoint endpoint) {
            List<HealthSnapshot> scores = new ArrayList<>();
            endpoint.appendSnapshots(scores);
            for (HealthSnapshot score : scores) {
                if (!score.requestClass().isEmpty()) continue;
                return 1 + (score.latencyPenalty() - 1) * Math.exp(-(now - score.updatedAtMs()) / 6000);
            }
            return 1;
        }

        private static double capacityShare(double now, double startedAtMs) {
            double elapsedShare = (now - startedAtMs) / 10_000;
            return elapsedShare >= 1 ? 1 : Math.max(0.01, 0.2 + 0.8 * Math.max(0, elapsedShare));
        }
    }

    @Test
    void inASmallFleetRandomChangesGiveTheSameTableAndSubsetAsTheReference() {
        int[] gatewayCounts = {1, 2, 3, 14, 20, 95, 100};
        for (int round = 0; round < 21; round++) {
            int gatewayCount = gatewayCounts[round % gatewayCounts.length];
            compareRandomChanges(
                    new Random(round),
                    round * 31 % gatewayCount,
                    gatewayCount,
                    round % 3 == 0 ? 12 : round % 3 == 1 ? 90 : HOSTS);
        }
    }

    @SuppressWarnings("EnumOrdinal") // drawn, never stored
    private void compareRandomChanges(Random random, int gatewayIndex, int gatewayCount, int hostCount) {
        PolicyHarness gateway = new PolicyHarness(1_000_000, PolicyHarness.settings(gatewayIndex, gatewayCount, 5));
        ReferenceTable reference = new ReferenceTable();
        for (int step = 0; step < 200; step++) {
            boolean fullList = step == 0 || random.nextInt(40) == 0;
            List<Host> listed = new ArrayList<>();
            for (int i = fullList ? 0 : random.nextInt(4); i < (fullList ? hostCount : 3); i++) {
                HostState state =
                        HostState.values()[Math.max(0, random.nextInt(fullList ? 12 : 5) - (fullList ? 9 : 2))];
                double startedAtMs = random.nextInt(3) == 0 ? gateway.now() - random.nextInt(15_000) : 0;
                listed.add(host(
                        random.nextInt(hostCount), state, startedAtMs, "z" + random.nextInt(3), random.nextInt(5)));
            }
            HostListKind kind =
                    fullList ? random.nextBoolean() ? HostListKind.FULL : HostListKind.CACHED : HostListKind.CHANGES;
            gateway.hostsUpdated(kind, listed);
            reference.hostsUpdated(kind, listed);
            assertSameAsReference(reference, gateway, gatewayIndex, gatewayCount);
            for (int i = 0; i < 6; i++) {
                String id = "r" + step + "-" + i;
                gateway.request(id, "pay");
                if (gateway.attemptsOf(id) == 0) continue;
                Outcome outcome = random.nextInt(3) > 0 ? Outcome.CONNECT_FAILED : Outcome.OK;
                gateway.endAttempt(id, 0, outcome, 5);
            }
            gateway.advance(500 + random.nextInt(100) * 10); // long enough for a tick that recomputes the capacity
            gateway.hostsUpdated(HostListKind.CHANGES, List.of());
            assertSameAsReference(reference, gateway, gatewayIndex, gatewayCount);
        }
    }

    private static void assertSameAsReference(
            ReferenceTable reference, PolicyHarness gateway, int gatewayIndex, int gatewayCount) {
        reference.refresh(gateway.now(), gateway, gatewayIndex, gatewayCount);
        assertEquals(reference.usableIds, usableIds(gateway));
        assertEquals(reference.subsetIds, ids(gateway.loadBalancer().subset()));
        assertEquals(reference.capacity, gateway.loadBalancer().healthyCapacity(), 1e-9);
        assertEquals(
                reference.all.values().stream()
                        .filter(ReferenceTable.KnownHost::listed)
                        .count(),
                gateway.loadBalancer().clusterHealth(gateway.now()).hostCount());
    }

    /** Creates a fleet whose gateways all have the same full list of hosts. */
    private static List<PolicyHarness> fleet(int gateways, List<Host> hosts) {
        List<PolicyHarness> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            PolicyHarness gateway = new PolicyHarness(1000, PolicyHarness.settings(i, gateways, i));
            gateway.hostsUpdated(HostListKind.FULL, hosts);
            fleet.add(gateway);
        }
        return fleet;
    }

    private static Map<String, Integer> gatewaysByHost(List<PolicyHarness> fleet) {
        Map<String, Integer> gatewaysByHost = new HashMap<>();
        fleet.forEach(gateway -> gateway.loadBalancer()
                .subset()
                .forEach(endpoint -> gatewaysByHost.merge(endpoint.host().id(), 1, Integer::sum)));
        return gatewaysByHost;
    }

    /** Endpoints added to and removed from subsets by a change: the most of any gateway, and the total of the fleet. */
    private record SubsetChanges(int mostAdded, int mostRemoved, int added, int removed) {}

    private static SubsetChanges applyChange(List<PolicyHarness> fleet, Host host) {
        SubsetChanges changes = new SubsetChanges(0, 0, 0, 0);
        for (PolicyHarness gateway : fleet) {
            Set<String> before = new HashSet<>(ids(gateway.loadBalancer().subset()));
            gateway.hostsUpdated(HostListKind.CHANGES, List.of(host));
            Set<String> after = new HashSet<>(ids(gateway.loadBalancer().subset()));
            int added = (int) after.stream().filter(id -> !before.contains(id)).count();
            int removed =
                    (int) before.stream().filter(id -> !after.contains(id)).count();
            changes = new SubsetChanges(
                    Math.max(changes.mostAdded, added),
                    Math.max(changes.mostRemoved, removed),
                    changes.added + added,
                    changes.removed + removed);
        }
        return changes;
    }

    @Test
    void inALargeFleetSixGatewaysUseEachHostAndAChangeAffectsOnlyTheirSubsets() {
        List<PolicyHarness> fleet = fleet(240, hosts(3000));
        Map<String, Integer> gatewaysByHost = gatewaysByHost(fleet);
        assertEquals(3000, gatewaysByHost.size());
        assertEquals(Set.of(6), new HashSet<>(gatewaysByHost.values()));
        int smallest = fleet.stream()
                .mapToInt(gateway -> gateway.loadBalancer().subset().size())
                .min()
                .orElseThrow();
        int largest = fleet.stream()
                .mapToInt(gateway -> gateway.loadBalancer().subset().size())
                .max()
                .orElseThrow();
        assertTrue(
                smallest >= 45 && largest <= 110,
                "subset sizes " + smallest + " to " + largest + ", expected 45 to 110 with a mean of 75");
        for (int i = 0; i < 20; i++) {
            assertEquals(new SubsetChanges(1, 0, 6, 0), applyChange(fleet, PolicyHarness.host("new" + i, "z1")));
        }
        for (int i = 0; i < 20; i++) {
            Host gone = new Host("h" + i * 100, "z1", "std", 0, HostState.GONE, 1, 0);
            assertEquals(new SubsetChanges(0, 1, 0, 6), applyChange(fleet, gone));
        }
        assertEquals(Set.of(6), new HashSet<>(gatewaysByHost(fleet).values()));
    }

    @Test
    void inALargeFleetWithFewHostsAChangeReplacesAtMostOneEndpointOfASubset() {
        List<PolicyHarness> fleet = fleet(240, hosts(320));
        Map<String, Integer> gatewaysByHost = gatewaysByHost(fleet);
        assertEquals(320, gatewaysByHost.size());
        assertEquals(Set.of(6), new HashSet<>(gatewaysByHost.values())); // 240 subsets of 8 endpoints, 320 hosts
        for (int i = 0; i < 20; i++) {
            SubsetChanges changes = applyChange(fleet, PolicyHarness.host("new" + i, "z1"));
            assertTrue(changes.mostAdded <= 1 && changes.mostRemoved <= 1, changes.toString());
            assertTrue(gatewaysByHost(fleet).values().stream().allMatch(gateways -> gateways >= 5 && gateways <= 7));
        }
    }

    @Test
    void theLastOfSeveralEntriesForAHostCounts() {
        PolicyHarness gateway = PolicyHarness.single();
        Host a = host("a", "z1", 1);
        Host gone = new Host("a", "z1", "std", 1, HostState.GONE, 1, 0);
        gateway.hostsUpdated(HostListKind.FULL, List.of(a, gone, host("b", "z1", 1), host("b", "z2", 2)));
        assertEquals(List.of("b"), usableIds(gateway));
        assertEquals(1, gateway.loadBalancer().clusterHealth(gateway.now()).hostCount());
        EndpointTable table = gateway.loadBalancer().table();
        assertEquals(0, table.usableInScopeOf(DeduplicationScope.ZONE, a).size());
        assertEquals(
                1,
                table.usableInScopeOf(DeduplicationScope.CELL, host("c", "z2", 2))
                        .size());
        gateway.hostsUpdated(HostListKind.CHANGES, List.of(gone, a));
        assertEquals(List.of("a", "b"), usableIds(gateway));
        gateway.hostsUpdated(HostListKind.FULL, List.of(a));
        assertEquals(List.of("a"), usableIds(gateway));
        gateway.advance(6000);
        assertNull(table.find("b"));
    }

    /** Asserts that a retry finds the only one of 20,000 hosts that shares the key's scope, outside the subset. */
    private static void assertRetryFindsTheOnlyHostInScope(DeduplicationScope scope, String zone) {
        RequestClass requestClass =
                new RequestClass("order", Idempotency.IDEMPOTENCY_KEY, scope, 60_000, 1000, 3000, 3, 0, false);
        Settings settings = PolicyHarness.settings(3, 100);
        PolicyHarness gateway = new PolicyHarness(
                1000,
                new Settings(
                        7,
                        3,
                        100,
                        "a",
                        false,
                        List.of(requestClass),
                        settings.plans(),
                        List.of(),
                        settings.limits(),
                        settings.rules(),
                        settings.coordination()));
        List<Host> hosts = IntStream.range(0, 20_000)
                .mapToObj(i -> host("h" + i, "far", 1))
                .toList();
        gateway.hostsUpdated(HostListKind.FULL, hosts);
        gateway.request("r", "order");
        String first = gateway.lastHostOf("r");
        gateway.hostsUpdated(HostListKind.CHANGES, List.of(new Host(first, zone, "std", 9, HostState.DRAINING, 1, 0)));
        Set<String> subset = Set.copyOf(ids(gateway.loadBalancer().subset()));
        String outsideSubset = hosts.stream()
                .map(Host::id)
                .filter(id -> !subset.contains(id) && !id.equals(first))
                .findFirst()
                .orElseThrow();
        gateway.endAttempt("r", 0, Outcome.ERROR, 5);
        assertEquals(1, gateway.attemptsOf("r")); // no usable host shares the scope
        gateway.hostsUpdated(HostListKind.CHANGES, List.of(host(outsideSubset, zone, 9)));
        assertFalse(ids(gateway.loadBalancer().subset()).contains(outsideSubset));
        assertEquals(2, gateway.attemptsOf("r"));
        assertEquals(outsideSubset, gateway.lastHostOf("r"));
    }

    @Test
    void aRetryWithZoneScopeFindsTheOnlyHostInTheZoneAmongVeryMany() {
        assertRetryFindsTheOnlyHostInScope(DeduplicationScope.ZONE, "rare");
    }

    @Test
    void aRetryWithCellScopeFindsTheOnlyHostInTheCellAmongVeryMany() {
        assertRetryFindsTheOnlyHostInScope(DeduplicationScope.CELL, "far");
    }

    /** Creates one gateway of a fleet of 4,200. */
    private static PolicyHarness gatewayInFleetOf4200(List<Host> hosts) {
        PolicyHarness gateway = new PolicyHarness(1_000_000, PolicyHarness.settings(17, 4200, 5));
        gateway.hostsUpdated(HostListKind.FULL, hosts);
        return gateway;
    }

    @Test
    void ifTheWholeSubsetIsInSlowStartARequestVisitsAtMost1024OtherEndpoints() {
        PolicyHarness gateway = gatewayInFleetOf4200(hosts(20_000));
        gateway.hostsUpdated(
                HostListKind.CHANGES,
                gateway.loadBalancer().subset().stream()
                        .map(endpoint ->
                                new Host(endpoint.host().id(), "z1", "std", 0, HostState.RUNNING, 1, gateway.now()))
                        .toList());
        List<Double> visited = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            long before = gateway.loadBalancer().table().visitedCount();
            gateway.request("r" + i, "read");
            visited.add((double) (gateway.loadBalancer().table().visitedCount() - before));
            assertEquals(1, gateway.attemptsOf("r" + i));
            gateway.endAttempt("r" + i, 0, Outcome.OK, 5);
        }
        assertTrue(visited.stream().allMatch(count -> count <= 1024), visited.toString());
        assertTrue(visited.stream().anyMatch(count -> count > 0), visited.toString());
    }

    /** Returns the mean number of endpoints visited per change, for hosts that leave and return. */
    private static double meanVisitedPerChange(int hostCount) {
        PolicyHarness gateway = gatewayInFleetOf4200(hosts(hostCount));
        Random random = new Random(1);
        int changes = 4000;
        long before = gateway.loadBalancer().table().visitedCount();
        for (int i = 0; i < changes / 2; i++) {
            int number = random.nextInt(hostCount);
            gateway.hostsUpdated(
                    HostListKind.CHANGES,
                    List.of(new Host("h" + number, "z" + number % 4, "std", 0, HostState.GONE, 1, 0)));
            gateway.hostsUpdated(HostListKind.CHANGES, List.of(PolicyHarness.host("h" + number, "z" + number % 4)));
        }
        return (gateway.loadBalancer().table().visitedCount() - before) / (double) changes;
    }

    @Test
    void aChangeAmong160000HostsVisitsAtMostHalfMoreEndpointsThanAmong10000() {
        double visitedAmongFew = meanVisitedPerChange(10_000);
        double visitedAmongMany = meanVisitedPerChange(160_000);
        assertTrue(
                visitedAmongMany <= 1.5 * visitedAmongFew,
                visitedAmongMany + " endpoints visited among 160000 hosts, " + visitedAmongFew + " among 10000");
    }

    @Test
    void anIdleSecondVisitsAtMostFourTimesTheSubset() {
        PolicyHarness gateway = gatewayInFleetOf4200(hosts(160_000));
        gateway.advance(20_000);
        long before = gateway.loadBalancer().table().visitedCount();
        gateway.advance(1000);
        long visited = gateway.loadBalancer().table().visitedCount() - before;
        assertTrue(
                visited <= 4L * gateway.loadBalancer().subset().size(),
                visited + " endpoints visited with a subset of "
                        + gateway.loadBalancer().subset().size());
    }
}
