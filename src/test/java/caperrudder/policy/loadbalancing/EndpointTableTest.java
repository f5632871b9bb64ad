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
import caperrudder.policy.FakeGateway;
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
                .mapToObj(i -> FakeGateway.host("h" + i, "z" + i % 4))
                .toList();
    }

    private static List<String> ids(Collection<Endpoint> hosts) {
        return hosts.stream().map(s -> s.host().id()).toList();
    }

    private static List<String> open(FakeGateway g) {
        return ids(RankedEndpoints.copyCircular(
                g.loadBalancer().table().usable(), 0, g.loadBalancer().table().usableCount()));
    }

    /** What every gateway once did at each change: walk, copy and sort all hosts. */
    private static final class WalkedHosts {
        private record Known(Host info, boolean listed, double coldAt) {}

        private final Map<String, Known> all = new LinkedHashMap<>();
        private List<String> usable = List.of();
        private final List<String> homes = new ArrayList<>();
        private double capacity;

        void told(HostListKind kind, List<Host> hosts) {
            if (kind != HostListKind.CHANGES) all.replaceAll((id, k) -> new Known(k.info(), false, k.coldAt()));
            for (Host h : hosts) {
                Known k = all.get(h.id());
                double coldAt = k == null ? Double.NEGATIVE_INFINITY : k.coldAt();
                all.put(
                        h.id(),
                        new Known(
                                h,
                                h.state() != HostState.GONE,
                                h.startedMs() > 0 ? Math.max(coldAt, h.startedMs()) : coldAt));
            }
        }

        void survey(double now, FakeGateway g, int me, int gateways) {
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
                            penalty(now, g.loadBalancer().table().find(k.info().id())) < 4 ? ramp(now, k.coldAt()) : 0)
                    .sum();
            homes.clear();
            int kept = Math.max(8, 6 * usable.size() / gateways);
            for (int i = 0; i < Math.min(kept, usable.size()); i++) {
                homes.add(usable.get((int) (((long) me * kept + i) % usable.size())));
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

        private static double ramp(double now, double coldAt) {
            double done = (now - coldAt) / 10_000;
            return done >= 1 ? 1 : Math.max(0.01, 0.2 + 0.8 * Math.max(0, done));
        }
    }

    @Test
    void ofUpToAHundredGatewaysEachKeepsToTheHostsThatAWalkOverAllFinds() {
        int[] gateways = {1, 2, 3, 14, 20, 95, 100};
        for (int round = 0; round < 21; round++) {
            int n = gateways[round % gateways.length];
            play(new Random(round), round * 31 % n, n, round % 3 == 0 ? 12 : round % 3 == 1 ? 90 : HOSTS);
        }
    }

    @SuppressWarnings("EnumOrdinal") // drawn, never stored
    private void play(Random random, int me, int n, int numbers) {
        FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(me, n, 5));
        WalkedHosts walked = new WalkedHosts();
        for (int step = 0; step < 200; step++) {
            boolean whole = step == 0 || random.nextInt(40) == 0;
            List<Host> told = new ArrayList<>();
            for (int i = whole ? 0 : random.nextInt(4); i < (whole ? numbers : 3); i++) {
                HostState state = HostState.values()[Math.max(0, random.nextInt(whole ? 12 : 5) - (whole ? 9 : 2))];
                double started = random.nextInt(3) == 0 ? g.now() - random.nextInt(15_000) : 0;
                told.add(host(random.nextInt(numbers), state, started, "z" + random.nextInt(3), random.nextInt(5)));
            }
            HostListKind kind =
                    whole ? random.nextBoolean() ? HostListKind.FULL : HostListKind.CACHED : HostListKind.CHANGES;
            g.hostsUpdated(kind, told);
            walked.told(kind, told);
            compare(walked, g, me, n);
            for (int i = 0; i < 6; i++) {
                String id = "r" + step + "-" + i;
                g.ask(id, "pay");
                if (g.sends(id) == 0) continue;
                Outcome outcome = random.nextInt(3) > 0 ? Outcome.CONNECT_FAILED : Outcome.OK;
                g.end(id, 0, outcome, 5);
            }
            g.pass(500 + random.nextInt(100) * 10); // beyond a beat at which hosts are counted
            g.hostsUpdated(HostListKind.CHANGES, List.of());
            compare(walked, g, me, n);
        }
    }

    private static void compare(WalkedHosts walked, FakeGateway g, int me, int n) {
        walked.survey(g.now(), g, me, n);
        assertEquals(walked.usable, open(g));
        assertEquals(walked.homes, ids(g.loadBalancer().subset()));
        assertEquals(walked.capacity, g.loadBalancer().capacity(), 1e-9);
        assertEquals(
                walked.all.values().stream().filter(WalkedHosts.Known::listed).count(),
                g.loadBalancer().clusterHealth(g.now()).size());
    }

    /** So many gateways, each told the same hosts. */
    private static List<FakeGateway> fleet(int gateways, List<Host> hosts) {
        List<FakeGateway> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            FakeGateway g = new FakeGateway(1000, FakeGateway.settings(i, gateways, i));
            g.hostsUpdated(HostListKind.FULL, hosts);
            fleet.add(g);
        }
        return fleet;
    }

    private static Map<String, Integer> keepers(List<FakeGateway> fleet) {
        Map<String, Integer> keepers = new HashMap<>();
        fleet.forEach(g ->
                g.loadBalancer().subset().forEach(s -> keepers.merge(s.host().id(), 1, Integer::sum)));
        return keepers;
    }

    /** The most homes that a gateway gains or loses by a change, and how many all gain and lose. */
    private record Moves(int mostGained, int mostLost, int gained, int lost) {}

    private static Moves change(List<FakeGateway> fleet, Host h) {
        Moves all = new Moves(0, 0, 0, 0);
        for (FakeGateway g : fleet) {
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
    void ofManyGatewaysSixKeepToEachHostAndAChangeMovesTheirHomesAlone() {
        List<FakeGateway> fleet = fleet(240, hosts(3000));
        Map<String, Integer> keepers = keepers(fleet);
        assertEquals(3000, keepers.size());
        assertEquals(Set.of(6), new HashSet<>(keepers.values()));
        int least = fleet.stream()
                .mapToInt(g -> g.loadBalancer().subset().size())
                .min()
                .orElseThrow();
        int most = fleet.stream()
                .mapToInt(g -> g.loadBalancer().subset().size())
                .max()
                .orElseThrow();
        assertTrue(least >= 45 && most <= 110, least + " to " + most + " homes, 75 on the mean");
        for (int i = 0; i < 20; i++) {
            assertEquals(new Moves(1, 0, 6, 0), change(fleet, FakeGateway.host("new" + i, "z1")));
        }
        for (int i = 0; i < 20; i++) {
            Host gone = new Host("h" + i * 100, "z1", "std", 0, HostState.GONE, 1, 0);
            assertEquals(new Moves(0, 1, 0, 6), change(fleet, gone));
        }
        assertEquals(Set.of(6), new HashSet<>(keepers(fleet).values()));
    }

    @Test
    void ofManyGatewaysBeforeFewHostsEachChangesOneHomeAtMostByAChange() {
        List<FakeGateway> fleet = fleet(240, hosts(320));
        Map<String, Integer> keepers = keepers(fleet);
        assertEquals(320, keepers.size());
        assertEquals(Set.of(6), new HashSet<>(keepers.values())); // 240 times eight homes
        for (int i = 0; i < 20; i++) {
            Moves moves = change(fleet, FakeGateway.host("new" + i, "z1"));
            assertTrue(moves.mostGained <= 1 && moves.mostLost <= 1, moves.toString());
            assertTrue(keepers(fleet).values().stream().allMatch(k -> k >= 5 && k <= 7));
        }
    }

    @Test
    void theLastWordToldOfAHostCounts() {
        FakeGateway g = FakeGateway.alone();
        Host a = host("a", "z1", 1);
        Host gone = new Host("a", "z1", "std", 1, HostState.GONE, 1, 0);
        g.hostsUpdated(HostListKind.FULL, List.of(a, gone, host("b", "z1", 1), host("b", "z2", 2)));
        assertEquals(List.of("b"), open(g));
        assertEquals(1, g.loadBalancer().clusterHealth(g.now()).size());
        EndpointTable table = g.loadBalancer().table();
        assertEquals(0, table.usableSharing(DeduplicationScope.ZONE, a).size());
        assertEquals(
                1,
                table.usableSharing(DeduplicationScope.CELL, host("c", "z2", 2)).size());
        g.hostsUpdated(HostListKind.CHANGES, List.of(gone, a));
        assertEquals(List.of("a", "b"), open(g));
        g.hostsUpdated(HostListKind.FULL, List.of(a));
        assertEquals(List.of("a"), open(g));
        g.pass(6000);
        assertNull(table.find("b"));
    }

    /** Of very many hosts one alone drops repeats of what another may have run, and is no home of its gateway. */
    private static void aRepeatFindsTheHostOfItsPlace(DeduplicationScope scope, String zone) {
        RequestClass order =
                new RequestClass("order", Idempotency.IDEMPOTENCY_KEY, scope, 60_000, 1000, 3000, 3, 0, false);
        Settings s = FakeGateway.settings(3, 100);
        FakeGateway g = new FakeGateway(
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
        g.ask("r", "order");
        String first = g.hostOf("r");
        g.hostsUpdated(HostListKind.CHANGES, List.of(new Host(first, zone, "std", 9, HostState.DRAINING, 1, 0)));
        Set<String> homes = Set.copyOf(ids(g.loadBalancer().subset()));
        String other = hosts.stream()
                .map(Host::id)
                .filter(id -> !homes.contains(id) && !id.equals(first))
                .findFirst()
                .orElseThrow();
        g.end("r", 0, Outcome.ERROR, 5);
        assertEquals(1, g.sends("r")); // none may have the repeat
        g.hostsUpdated(HostListKind.CHANGES, List.of(host(other, zone, 9)));
        assertFalse(ids(g.loadBalancer().subset()).contains(other));
        assertEquals(2, g.sends("r"));
        assertEquals(other, g.hostOf("r"));
    }

    @Test
    void aRepeatFindsTheOneHostOfItsZoneAmongVeryMany() {
        aRepeatFindsTheHostOfItsPlace(DeduplicationScope.ZONE, "rare");
    }

    @Test
    void aRepeatFindsTheOneHostOfItsCellAmongVeryMany() {
        aRepeatFindsTheHostOfItsPlace(DeduplicationScope.CELL, "far");
    }

    /** A gateway among the 4,200 to come. */
    private static FakeGateway oneOfMany(List<Host> hosts) {
        FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(17, 4200, 5));
        g.hostsUpdated(HostListKind.FULL, hosts);
        return g;
    }

    @Test
    void whereAllHomesAreColdARequestComparesAThousandOtherHostsAtMost() {
        FakeGateway g = oneOfMany(hosts(20_000));
        g.hostsUpdated(
                HostListKind.CHANGES,
                g.loadBalancer().subset().stream()
                        .map(s -> new Host(s.host().id(), "z1", "std", 0, HostState.RUNNING, 1, g.now()))
                        .toList());
        List<Double> touched = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            long before = g.loadBalancer().table().visited();
            g.ask("r" + i, "read");
            touched.add((double) (g.loadBalancer().table().visited() - before));
            assertEquals(1, g.sends("r" + i));
            g.end("r" + i, 0, Outcome.OK, 5);
        }
        assertTrue(touched.stream().allMatch(t -> t <= 1024), touched.toString());
        assertTrue(touched.stream().anyMatch(t -> t > 0), touched.toString());
    }

    /** Hosts compared, copied or visited for a change, on the mean of hosts that go and return. */
    private static double touchedByAChange(int count) {
        FakeGateway g = oneOfMany(hosts(count));
        Random random = new Random(1);
        int changes = 4000;
        long before = g.loadBalancer().table().visited();
        for (int i = 0; i < changes / 2; i++) {
            int number = random.nextInt(count);
            g.hostsUpdated(
                    HostListKind.CHANGES,
                    List.of(new Host("h" + number, "z" + number % 4, "std", 0, HostState.GONE, 1, 0)));
            g.hostsUpdated(HostListKind.CHANGES, List.of(FakeGateway.host("h" + number, "z" + number % 4)));
        }
        return (g.loadBalancer().table().visited() - before) / (double) changes;
    }

    @Test
    void aChangeCostsLittleMoreAmongTheHostsToComeThanAmongTenThousand() {
        double few = touchedByAChange(10_000);
        double many = touchedByAChange(160_000);
        assertTrue(many <= 1.5 * few, many + " hosts touched beside " + few);
    }

    @Test
    void anIdleSecondCostsWhatTheGatewayKeepsTo() {
        FakeGateway g = oneOfMany(hosts(160_000));
        g.pass(20_000);
        long before = g.loadBalancer().table().visited();
        g.pass(1000);
        long touched = g.loadBalancer().table().visited() - before;
        assertTrue(
                touched <= 4L * g.loadBalancer().subset().size(),
                touched + " for " + g.loadBalancer().subset().size() + " homes");
    }
}
