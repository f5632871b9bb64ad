package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.CoordinationSettings;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Outcome;
import caperrudder.api.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What many gateways do together before many hosts, each knowing only what it met itself. */
class FleetTest {
    private static final int GATEWAYS = 14;
    private static final int HOSTS = 60;
    private static final double STEP_MS = 10;
    private static final double ANSWER_MS = 300;
    private final List<PolicyHarness> fleet = new ArrayList<>();
    private int serial;

    /** All gateways at one moment, with the given hosts. */
    private void fleet(double now, List<Host> hosts) {
        for (int i = 0; i < GATEWAYS; i++) {
            PolicyHarness g = new PolicyHarness(now, PolicyHarness.settings(i, GATEWAYS, 100 + i));
            g.policy.hostsUpdated(now, HostListKind.FULL, hosts);
            fleet.add(g);
        }
    }

    private static List<Host> hosts(IntStream numbers, double startedAtMs) {
        return numbers.mapToObj(i -> new Host("h" + i, "a", "std", 0, HostState.RUNNING, 1, startedAtMs))
                .toList();
    }

    private static List<Host> joined(List<Host> some, List<Host> others) {
        List<Host> all = new ArrayList<>(some);
        all.addAll(others);
        return all;
    }

    /** Each gateway is asked in turn, every so often, and each host answers after the same time. */
    private void serve(double ms, double gapMs) {
        double from = fleet.get(0).now;
        for (double t = STEP_MS; t <= ms; t += STEP_MS) {
            for (int i = 0; i < GATEWAYS; i++) {
                PolicyHarness g = fleet.get(i);
                g.advanceTo(from + t);
                List<PolicyHarness.SentAttempt> due = g.sent.stream()
                        .filter(s -> s.at() <= g.now - ANSWER_MS && s.at() > g.now - ANSWER_MS - STEP_MS)
                        .toList();
                due.forEach(s -> g.endAttempt(s.id(), 0, Outcome.OK, ANSWER_MS));
                if ((t + i * STEP_MS) % gapMs < STEP_MS) {
                    g.request("r" + serial++, "read");
                }
            }
        }
    }

    private long sentTo(Set<String> hosts, double from, double to) {
        return fleet.stream()
                .flatMap(g -> g.sent.stream())
                .filter(s -> s.at() > from && s.at() <= to && hosts.contains(s.host()))
                .count();
    }

    private static Set<String> ids(List<Host> hosts) {
        return hosts.stream().map(Host::id).collect(Collectors.toSet());
    }

    @Test
    void coldHostsTakeTheirShareOfTheWorkByWhatTheyCanDo() {
        // join+vast: 24 warm hosts were busy all the time while 36 cold ones, at half of theirs, had a tenth of it
        double now = 100_000;
        List<Host> cold = hosts(IntStream.range(24, HOSTS), now - 5000); // at 0.6 of what they can do
        fleet(now, joined(hosts(IntStream.range(0, 24), 0), cold));
        serve(1000, 50);
        double share = (double) sentTo(ids(cold), now, now + 1000)
                / sentTo(ids(joined(cold, hosts(IntStream.range(0, 24), 0))), now, now + 1000);
        double byCapacity = 36 * 0.64 / (24 + 36 * 0.64);
        assertTrue(share > 0.8 * byCapacity && share < 1.2 * byCapacity, "cold hosts took " + share);
    }

    private static final double QUOTA = PolicyHarness.SMALL.unitsPerSecond();

    /**
     * Units of customer 42 let in over so many seconds, where each of the gateways is asked for one every so often
     * and the meter tells with each answer what was used in the last whole second but one.
     */
    private double metered(int seconds, double gapMs) {
        double now = 100_000;
        for (int i = 0; i < GATEWAYS; i++) {
            PolicyHarness g = new PolicyHarness(now, PolicyHarness.metered(i, GATEWAYS, 100 + i));
            g.policy.hostsUpdated(now, HostListKind.FULL, hosts(IntStream.range(0, HOSTS), 0));
            fleet.add(g);
        }
        double[] used = new double[seconds + 2];
        for (double t = STEP_MS; t <= seconds * 1000; t += STEP_MS) {
            int second = (int) (t / 1000);
            for (int i = 0; i < GATEWAYS; i++) {
                PolicyHarness g = fleet.get(i);
                g.advanceTo(now + t);
                for (PolicyHarness.SentAttempt s : List.copyOf(g.sent)) {
                    if (s.at() <= g.now - ANSWER_MS && s.at() > g.now - ANSWER_MS - STEP_MS) {
                        double told = second < 2 ? 0 : used[second - 2];
                        g.endAttempt(s.id(), 0, Outcome.OK, ANSWER_MS, 1 + (int) (100 * told / QUOTA));
                    }
                }
                if ((t + i * gapMs / GATEWAYS) % gapMs < STEP_MS) {
                    int before = g.sent.size();
                    g.request("q" + serial++, "read", "small", 42, 1, GATEWAYS);
                    used[second] += g.sent.size() - before;
                }
            }
        }
        return fleet.stream().mapToInt(g -> g.sent.size()).sum();
    }

    @Test
    void aFullStoreServesABurstAtOneGatewayOfMany() {
        // zone+vast: 34 of 100 tries were refused with half of the quota unused, most of them never metered
        PolicyHarness g = new PolicyHarness(1000, PolicyHarness.metered(3, GATEWAYS, 7)).withHosts("a1", "a2");
        for (int i = 0; i < 5; i++) {
            g.request("q" + i, "read", "small", 42, 2, GATEWAYS);
        }
        assertEquals(List.of(), g.rejected);
        g.request("more", "read", "small", 42, 4, GATEWAYS); // ten of twelve are gone
        assertEquals(List.of("more"), g.rejected);
    }

    @Test
    void aCustomerBelowItsQuotaIsRefusedAtNoGateway() {
        double asked = 20 * 3.5; // a unit every 4 s at each of the gateways
        assertEquals(asked, metered(20, 4000), 1);
    }

    @Test
    void aCustomerFarBeyondItsQuotaIsHeldByTheMeter() {
        double letIn = metered(20, 700); // five times the quota, the most that a customer asks in a spell
        double quota = 20 * QUOTA + PolicyHarness.SMALL.burstUnits();
        double asked = 20 * GATEWAYS / 0.7;
        assertTrue(letIn > 0.9 * quota && letIn < 0.55 * asked, letIn + " of " + asked + " in a quota of " + quota);
    }

    @Test
    void withoutAMeterNobodyLetsInTheWholeStore() {
        Settings s = PolicyHarness.metered(3, GATEWAYS, 7);
        Settings blind = new Settings(
                7,
                3,
                GATEWAYS,
                s.zone(),
                false,
                s.classes(),
                s.plans(),
                List.of(),
                s.limits(),
                s.rules(),
                new CoordinationSettings(false, 0, 0, false, 4, 0, 0, 0, 0));
        PolicyHarness g = new PolicyHarness(1000, blind).withHosts("a1", "a2");
        for (int i = 0; i < 5; i++) {
            g.request("q" + i, "read", "small", 42, 2, GATEWAYS);
        }
        assertEquals(3, g.rejected.size());
    }

    /** The share of cold hosts, at 0.6 and more of what they can do, where each answer tells what its host holds. */
    private double coldShare(double warmHolds, double coldHolds) {
        PolicyHarness g = new PolicyHarness(100_000, PolicyHarness.metered(3, GATEWAYS, 9));
        g.policy.hostsUpdated(
                g.now,
                HostListKind.FULL,
                joined(hosts(IntStream.range(0, 24), 0), hosts(IntStream.range(24, HOSTS), g.now - 5000)));
        int cold = 0;
        for (int i = 0; i < 400; i++) {
            String id = "r" + serial++;
            g.request(id, "read");
            boolean isCold = Integer.parseInt(g.lastHostOf(id).substring(1)) >= 24;
            cold += isCold && i >= 100 ? 1 : 0;
            g.endAttempt(id, 0, Outcome.OK, ANSWER_MS, 0, 0.5, isCold ? coldHolds : warmHolds);
            g.advance(5);
        }
        return cold / 300.0;
    }

    @Test
    void whatHostsReportShiftsTheTurnsOfColdOnes() {
        // herd+vast: twenty warm hosts held 11 to 15 requests each, and forty cold ones two
        double even = coldShare(10, 7);
        double leaning = coldShare(12, 2);
        assertTrue(leaning > even + 0.08, leaning + " beside " + even);
        assertTrue(leaning < 0.85, "all would follow the reports: " + leaning);
    }

    @Test
    void aHostWhoseErrorsComeAtOnceIsSoonAvoidedByAll() {
        // herd+vast: nine hosts answered seven of ten requests with an error within 3 ms, and got their full share
        fleet(100_000, hosts(IntStream.range(0, HOSTS), 0));
        int sentThere = 0;
        int all = 0;
        for (int round = 0; round < 80; round++) {
            for (PolicyHarness g : fleet) {
                String id = "r" + serial++;
                g.request(id, round % 2 == 0 ? "read" : "order");
                boolean bad = g.lastHostOf(id).matches("h[0-8]");
                boolean fails = bad && serial % 10 < 7;
                if (round >= 40) {
                    sentThere += bad ? 1 : 0;
                    all++;
                }
                g.endAttempt(id, 0, fails ? Outcome.ERROR : Outcome.OK, fails ? 3 : ANSWER_MS);
                g.advance(25);
            }
        }
        assertTrue(sentThere < 0.35 * all * 9 / HOSTS, sentThere + " of " + all);
    }

    @Test
    void noColdHostIsPushedOverByAllTogether() {
        double now = 100_000;
        List<Host> cold = hosts(IntStream.range(24, HOSTS), now);
        List<Host> warm = hosts(IntStream.range(0, 24), 0);
        fleet(now, joined(warm, cold));
        serve(1000, 50);
        double perWarm = sentTo(ids(warm), now, now + 1000) / 24.0; // these are held to be full
        for (Host h : cold) {
            long sent = sentTo(Set.of(h.id()), now, now + 1000);
            assertTrue(sent <= 2 * 0.24 * perWarm + 1, h.id() + " got " + sent + " beside " + perWarm);
        }
    }
}
