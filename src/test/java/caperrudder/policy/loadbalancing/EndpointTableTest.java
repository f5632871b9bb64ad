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

/** The table of hosts: which hosts a gateway keeps to, and what it may use where it can't use these. */
class EndpointTableTest {
    private static final int HOSTS = 700;

    /** Of these some share a hash with another. */
    private static Host host(int number, HostState state, double startedMs, String zone, int cell) {
        String id = number % 7 > 1 ? "h" + number : (number % 7 == 0 ? "Aa" : "BB") + number / 7;
        return new Host(id, zone, "std", cell, state, 1, startedMs);
    }

    private static Host host(String id, String zone, int cell) {
        return new Host(id, zone, "std", cell, HostState.RUNNING, 1, 0);
    }

    private static List<Host> hosts(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> PolicyHarness.host("h" + i, "z" + i % 4))
                .toList();
    }

    private static List<String> ids(Collection<Endpoint> hosts) {
        return hosts.stream().map(s -> s.host().id()).toList();
    }

    private static List<String> usable(PolicyHarness g) {
        return ids(RankedEndpoints.copyCircular(
                g.loadBalancer().table().usable(), 0, g.loadBalancer().table().usableCount()));
    }

    /** What every gateway once did at each change: walk, copy and sort all hosts. */
    private static final class ScannedHosts {
        private record Known(Host info, boolean listed, double startedAtMs) {}

        private final Map<String, Known> all = new LinkedHashMap<>();
        private List<String> usable = List.of();
        private final List<String> subset = new ArrayList<>();
        private double capacity;

        void listed(HostListKind kind, List<Host> hosts) {
            if (kind != HostListKind.CHANGES) all.replaceAll((id, k) -> new Known(k.info(), false, k.startedAtMs()));
            for (Host h : hosts) {
                Known k = all.get(h.id());
                double startedAtMs = k == null ? Double.NEGATIVE_INFINITY : k.startedAtMs();
                all.put(
                        h.id(),
                        new Known(
                                h,
                                h.state() != HostState.GONE,
                                h.startedMs() > 0 ? Math.max(startedAtMs, h.startedMs()) : startedAtMs));
            }
        }

        void refresh(double now, PolicyHarness g, int me, int gateways) {
            all.values()
                    .removeIf(k -> !k.listed()
                            && g.loadBalancer().table().find(k.info().id()) == null); // forgotten
            List<Known> open = all.values().stream()
                    .filter(k -> k.listed() && k.info().state() == HostState.RUNNING)
                    .sorted(Comparator.<Known>comparingInt(k -> k.info().id().hashCode())
                            .thenComparing(k -> k.info().id()))
                    .toList();
            usable = open.stream().map(k -> k.info().id()).toList();
            capacity = open.stream()
                    .mapToDouble(k ->
                            penalty(now, g.loadBalancer().table().find(k.info().id())) < 4
                                    ? capacityShare(now, k.startedAtMs())
                                    : 0)
                    .sum();
            subset.clear();
            int kept = Math.max(8, 6 * usable.size() / gateways);
            for (int i = 0; i < Math.min(kept, usable.size()); i++) {
                subset.add(usable.get((int) (((long) me * kept + i) % usable.size())));
            }
        }

        private static double penalty(double now, Endpoint endpoint) {
            List<HealthSnapshot> scores = new ArrayList<>();
            endpoint.takeSnapshot(scores);
            for (HealthSnapshot s : scores) {
                if (!s.requestClass().isEmpty()) continue;
                return 1 + (s.latencyPenalty() - 1) * Math.exp(-(now - s.updatedAtMs()) / 6000);
            }
            return 1;
        }

        private static double capacityShare(double now, double startedAtMs) {
            double done = (now - startedAtMs) / 10_000;
            return done >= 1 ? 1 : Math.max(0.01, 0.2 + 0.8 * Math.max(0, done));
        }
    }

    @Test
    void ofUpToAHundredGatewaysEachUsesTheSubsetThatAScanOfAllHostsFinds() {
        int[] gateways = {1, 2, 3, 14, 20, 95, 100};
        for (int round = 0; round < 21; round++) {
            int n = gateways[round % gateways.length];
            playRandomChanges(new Random(round), round * 31 % n, n, round % 3 == 0 ? 12 : round % 3 == 1 ? 90 : HOSTS);
        }
    }

    @SuppressWarnings("EnumOrdinal") // drawn, never stored
    private void playRandomChanges(Random random, int me, int n, int numbers) {
        PolicyHarness g = new PolicyHarness(1_000_000, PolicyHarness.settings(me, n, 5));
        ScannedHosts scanned = new ScannedHosts();
        for (int step = 0; step < 200; step++) {
            boolean whole = step == 0 || random.nextInt(40) == 0;
            List<Host> listed = new ArrayList<>();
            for (int i = whole ? 0 : random.nextInt(4); i < (whole ? numbers : 3); i++) {
                HostState state = HostState.values()[Math.max(0, random.nextInt(whole ? 12 : 5) - (whole ? 9 : 2))];
                double started = random.nextInt(3) == 0 ? g.now() - random.nextInt(15_000) : 0;
                listed.add(host(random.nextInt(numbers), state, started, "z" + random.nextInt(3), random.nextInt(5)));
            }
            HostListKind kind =
                    whole ? random.nextBoolean() ? HostListKind.FULL : HostListKind.CACHED : HostListKind.CHANGES;
            g.hostsUpdated(kind, listed);
            scanned.listed(kind, listed);
            assertSameAsScan(scanned, g, me, n);
            for (int i = 0; i < 6; i++) {
                String id = "r" + step + "-" + i;
                g.request(id, "pay");
                if (g.attemptsOf(id) == 0) continue;
                Outcome outcome = random.nextInt(3) > 0 ? Outcome.CONNECT_FAILED : Outcome.OK;
                g.endAttempt(id, 0, outcome, 5);
            }
            g.advance(500 + random.nextInt(100) * 10); // beyond a beat at which hosts are counted
            g.hostsUpdated(HostListKind.CHANGES, List.of());
            assertSameAsScan(scanned, g, me, n);
        }
    }

    private static void assertSameAsScan(ScannedHosts scanned, PolicyHarness g, int me, int n) {
        scanned.refresh(g.now(), g, me, n);
        assertEquals(scanned.usable, usable(g));
        assertEquals(scanned.subset, ids(g.loadBalancer().subset()));
        assertEquals(scanned.capacity, g.loadBalancer().capacity(), 1e-9);
        assertEquals(
                scanned.all.values().stream().filter(ScannedHosts.Known::listed).count(),
                g.loadBalancer().clusterHealth(g.now()).size());
    }

    /** So many gateways, each listed the same hosts. */
    private static List<PolicyHarness> fleet(int gateways, List<Host> hosts) {
        List<PolicyHarness> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            PolicyHarness g = new PolicyHarness(1000, PolicyHarness.settings(i, gateways, i));
            g.hostsUpdated(HostListKind.FULL, hosts);
            fleet.add(g);
        }
        return fleet;
    }

    private static Map<String, Integer> gatewaysByHost(List<PolicyHarness> fleet) {
        Map<String, Integer> gatewaysByHost = new HashMap<>();
        fleet.forEach(g -> g.loadBalancer()
                .subset()
                .forEach(s -> gatewaysByHost.merge(s.host().id(), 1, Integer::sum)));
        return gatewaysByHost;
    }

    /** The most subset that a gateway gains or loses by a change, and how many all gain and lose. */
    private record Moves(int mostGained, int mostLost, int gained, int lost) {}

    private static Moves change(List<PolicyHarness> fleet, Host h) {
        Moves all = new Moves(0, 0, 0, 0);
        for (PolicyHarness g : fleet) {
            Set<String> before = new HashSet<>(ids(g.loadBalancer().subset()));
            g.hostsUpdated(HostListKind.CHANGES, List.of(h));
            Set<String> after = new HashSet<>(ids(g.loadBalancer().subset()));
            int gained = (int) after.stream().filter(id -> !before.contains(id)).count();
            int lost = (int) before.stream().filter(id -> !after.contains(id)).count();
            all = new Moves(
                    Math.max(all.mostGained, gained),
                    Math.max(all.mostLost, lost),
                    all.gained + gained,
                    all.lost + lost);
        }
        return all;
    }

    @Test
    void inALargeFleetSixGatewaysUseEachHostAndAChangeMovesTheirSubsetsAlone() {
        List<PolicyHarness> fleet = fleet(240, hosts(3000));
        Map<String, Integer> gatewaysByHost = gatewaysByHost(fleet);
        assertEquals(3000, gatewaysByHost.size());
        assertEquals(Set.of(6), new HashSet<>(gatewaysByHost.values()));
        int least = fleet.stream()
                .mapToInt(g -> g.loadBalancer().subset().size())
                .min()
                .orElseThrow();
        int most = fleet.stream()
                .mapToInt(g -> g.loadBalancer().subset().size())
                .max()
                .orElseThrow();
        assertTrue(least >= 45 && most <= 110, least + " to " + most + " subset, 75 on the mean");
        for (int i = 0; i < 20; i++) {
            assertEquals(new Moves(1, 0, 6, 0), change(fleet, PolicyHarness.host("new" + i, "z1")));
        }
        for (int i = 0; i < 20; i++) {
            Host gone = new Host("h" + i * 100, "z1", "std", 0, HostState.GONE, 1, 0);
            assertEquals(new Moves(0, 1, 0, 6), change(fleet, gone));
        }
        assertEquals(Set.of(6), new HashSet<>(gatewaysByHost(fleet).values()));
    }

    @Test
    void inALargeFleetWithFewHostsAChangeMovesOneEndpointOfASubsetAtMost() {
        List<PolicyHarness> fleet = fleet(240, hosts(320));
        Map<String, Integer> gatewaysByHost = gatewaysByHost(fleet);
        assertEquals(320, gatewaysByHost.size());
        assertEquals(Set.of(6), new HashSet<>(gatewaysByHost.values())); // 240 times eight subset
        for (int i = 0; i < 20; i++) {
            Moves moves = change(fleet, PolicyHarness.host("new" + i, "z1"));
            assertTrue(moves.mostGained <= 1 && moves.mostLost <= 1, moves.toString());
            assertTrue(gatewaysByHost(fleet).values().stream().allMatch(k -> k >= 5 && k <= 7));
        }
    }

    @Test
    void ofSeveralEntriesForAHostTheLastOneCounts() {
        PolicyHarness g = PolicyHarness.single();
        Host a = host("a", "z1", 1);
        Host gone = new Host("a", "z1", "std", 1, HostState.GONE, 1, 0);
        g.hostsUpdated(HostListKind.FULL, List.of(a, gone, host("b", "z1", 1), host("b", "z2", 2)));
        assertEquals(List.of("b"), usable(g));
        assertEquals(1, g.loadBalancer().clusterHealth(g.now()).size());
        EndpointTable table = g.loadBalancer().table();
        assertEquals(0, table.usableSharing(DeduplicationScope.ZONE, a).size());
        assertEquals(
                1,
                table.usableSharing(DeduplicationScope.CELL, host("c", "z2", 2)).size());
        g.hostsUpdated(HostListKind.CHANGES, List.of(gone, a));
        assertEquals(List.of("a", "b"), usable(g));
        g.hostsUpdated(HostListKind.FULL, List.of(a));
        assertEquals(List.of("a"), usable(g));
        g.advance(6000);
        assertNull(table.find("b"));
    }

    /** Of very many hosts one alone drops repeats of what another may have run, and is no home of its gateway. */
    private static void assertRetryFindsTheHostOfItsPlace(DeduplicationScope scope, String zone) {
        RequestClass order =
                new RequestClass("order", Idempotency.IDEMPOTENCY_KEY, scope, 60_000, 1000, 3000, 3, 0, false);
        Settings s = PolicyHarness.settings(3, 100);
        PolicyHarness g = new PolicyHarness(
                1000,
                new Settings(
                        7,
                        3,
                        100,
                        "a",
                        false,
                        List.of(order),
                        s.plans(),
                        List.of(),
                        s.limits(),
                        s.rules(),
                        s.sharing()));
        List<Host> hosts = IntStream.range(0, 20_000)
                .mapToObj(i -> host("h" + i, "far", 1))
                .toList();
        g.hostsUpdated(HostListKind.FULL, hosts);
        g.request("r", "order");
        String first = g.lastHostOf("r");
        g.hostsUpdated(HostListKind.CHANGES, List.of(new Host(first, zone, "std", 9, HostState.DRAINING, 1, 0)));
        Set<String> subset = Set.copyOf(ids(g.loadBalancer().subset()));
        String other = hosts.stream()
                .map(Host::id)
                .filter(id -> !subset.contains(id) && !id.equals(first))
                .findFirst()
                .orElseThrow();
        g.endAttempt("r", 0, Outcome.ERROR, 5);
        assertEquals(1, g.attemptsOf("r")); // none may have the repeat
        g.hostsUpdated(HostListKind.CHANGES, List.of(host(other, zone, 9)));
        assertFalse(ids(g.loadBalancer().subset()).contains(other));
        assertEquals(2, g.attemptsOf("r"));
        assertEquals(other, g.lastHostOf("r"));
    }

    @Test
    void retryWithAKeyOfTheZoneFindsTheOnlyHostOfTheZoneAmongVeryMany() {
        assertRetryFindsTheHostOfItsPlace(DeduplicationScope.ZONE, "rare");
    }

    @Test
    void retryWithAKeyOfTheCellFindsTheOnlyHostOfTheCellAmongVeryMany() {
        assertRetryFindsTheHostOfItsPlace(DeduplicationScope.CELL, "far");
    }

    /** A gateway among the 4,200 to come. */
    private static PolicyHarness oneOfMany(List<Host> hosts) {
        PolicyHarness g = new PolicyHarness(1_000_000, PolicyHarness.settings(17, 4200, 5));
        g.hostsUpdated(HostListKind.FULL, hosts);
        return g;
    }

    @Test
    void whereTheWholeSubsetIsInSlowStartARequestComparesAThousandOthersAtMost() {
        PolicyHarness g = oneOfMany(hosts(20_000));
        g.hostsUpdated(
                HostListKind.CHANGES,
                g.loadBalancer().subset().stream()
                        .map(s -> new Host(s.host().id(), "z1", "std", 0, HostState.RUNNING, 1, g.now()))
                        .toList());
        List<Double> visited = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            long before = g.loadBalancer().table().visited();
            g.request("r" + i, "read");
            visited.add((double) (g.loadBalancer().table().visited() - before));
            assertEquals(1, g.attemptsOf("r" + i));
            g.endAttempt("r" + i, 0, Outcome.OK, 5);
        }
        assertTrue(visited.stream().allMatch(t -> t <= 1024), visited.toString());
        assertTrue(visited.stream().anyMatch(t -> t > 0), visited.toString());
    }

    /** Hosts compared, copied or visited for a change, on the mean of hosts that go and return. */
    private static double visitedByAChange(int count) {
        PolicyHarness g = oneOfMany(hosts(count));
        Random random = new Random(1);
        int changes = 4000;
        long before = g.loadBalancer().table().visited();
        for (int i = 0; i < changes / 2; i++) {
            int number = random.nextInt(count);
            g.hostsUpdated(
                    HostListKind.CHANGES,
                    List.of(new Host("h" + number, "z" + number % 4, "std", 0, HostState.GONE, 1, 0)));
            g.hostsUpdated(HostListKind.CHANGES, List.of(PolicyHarness.host("h" + number, "z" + number % 4)));
        }
        return (g.loadBalancer().table().visited() - before) / (double) changes;
    }

    @Test
    void aChangeAmong160000HostsVisitsLittleMoreThanAmong10000() {
        double few = visitedByAChange(10_000);
        double many = visitedByAChange(160_000);
        assertTrue(many <= 1.5 * few, many + " hosts visited beside " + few);
    }

    @Test
    void anIdleSecondVisitsNoMoreThanTheSubset() {
        PolicyHarness g = oneOfMany(hosts(160_000));
        g.advance(20_000);
        long before = g.loadBalancer().table().visited();
        g.advance(1000);
        long visited = g.loadBalancer().table().visited() - before;
        assertTrue(
                visited <= 4L * g.loadBalancer().subset().size(),
                visited + " for " + g.loadBalancer().subset().size() + " subset");
    }
}
