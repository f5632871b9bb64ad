package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.CoordinationSettings;
import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A customer's quota holds over a fleet whose gateways know of each other's use only by the meter, late. */
class MeteredFleetTest {
    private static final int GATEWAYS = 20;
    private static final int HOSTS = 80; // enough that only quotas decide
    private static final double RUN_MS = 30_000;
    private static final double RESPONSE_MS = 200;
    private static final double PERIOD_MS = 1000; // of the meter
    private static final double DELAY_MS =
            800; // from a period's end to its figure; also the delay of the other policy's view
    private static final double COST_MARGIN = 0.1; // of the value inside, that excess may cost more
    private static final double REJECTED_WITH_CAPACITY = 0.04; // the design's limit on quiet days

    /** One request as the customers make them, whatever became of those before. */
    private record ClientRequest(double at, int gateway, long customer, Plan plan) {}

    /** What all have used: the actual bucket, and how it stood before. */
    private static final class ActualBucket {
        private final Plan plan;
        private final TreeMap<Double, Double> before = new TreeMap<>();

        ActualBucket(Plan plan) {
            this.plan = plan;
            before.put(0.0, plan.burstUnits());
        }

        double level(double at) {
            Map.Entry<Double, Double> last = before.floorEntry(Math.max(0, at));
            return Math.min(
                    plan.burstUnits(),
                    last.getValue() + plan.unitsPerSecond() * (Math.max(0, at) - last.getKey()) / 1000);
        }

        /** Whether it was inside the quota; excess takes nothing from the bucket. */
        boolean take(double at) {
            boolean inside = level(at) >= 1;
            before.put(at, level(at) - (inside ? 1 : 0));
            return inside;
        }
    }

    private static final class Outcomes {
        double value; // of what a policy with a view of all requests would admit
        double cost; // of what was admitted beyond the quota
        int requests;
        int rejectedWithCapacity;

        double excessCost() {
            return cost / value;
        }

        double rejectedWithCapacity() {
            return (double) rejectedWithCapacity / requests;
        }
    }

    private static Plan plan(String name, double rate, double seconds, double overCost) {
        return new Plan(name, rate, Math.max(2, rate * seconds), 0, 1, 0, overCost, 0, 0, 0);
    }

    /** Most use a part of their quota, some nearly all, a few much more, each mostly at some of the gateways. */
    private static List<ClientRequest> requests(long seed, List<Plan> plans) {
        Random r = new Random(seed);
        List<ClientRequest> all = new ArrayList<>();
        for (int customer = 1; customer <= 60; customer++) {
            Plan p = plans.get(customer % plans.size());
            double kind = r.nextDouble();
            double use = kind < 0.7 ? 0.2 + 0.3 * r.nextDouble() : kind < 0.92 ? 0.9 : 1.9 + 1.5 * r.nextDouble();
            int busiest = r.nextInt(GATEWAYS);
            for (double at = 1; at < RUN_MS; at += -Math.log(1 - r.nextDouble()) * 1000 / (use * p.unitsPerSecond())) {
                int gateway = (busiest + (int) (GATEWAYS * Math.pow(r.nextDouble(), 2))) % GATEWAYS;
                all.add(new ClientRequest(at, gateway, customer, p));
            }
        }
        all.sort(Comparator.comparingDouble(ClientRequest::at));
        return all;
    }

    private static void count(Outcomes t, ActualBucket s, ClientRequest of, boolean in) {
        boolean hasCapacity =
                s.level(of.at()) >= Math.max(1, of.plan().burstUnits() / 2); // as the bench counts it: half unused
        t.requests++;
        if (!in) {
            t.rejectedWithCapacity += hasCapacity ? 1 : 0;
        } else if (!s.take(of.at())) {
            t.cost += of.plan().overQuotaCostRatio();
        }
    }

    private static double value(List<ClientRequest> requests) {
        Map<Long, ActualBucket> stores = new HashMap<>();
        return requests.stream()
                .filter(t -> stores.computeIfAbsent(t.customer(), c -> new ActualBucket(t.plan()))
                        .take(t.at()))
                .count();
    }

    private static Outcomes playDelayedView(List<ClientRequest> requests) {
        Outcomes outcomes = new Outcomes();
        outcomes.value = value(requests);
        Map<Long, ActualBucket> stores = new HashMap<>();
        for (ClientRequest t : requests) {
            ActualBucket s = stores.computeIfAbsent(t.customer(), c -> new ActualBucket(t.plan()));
            count(outcomes, s, t, s.level(t.at() - DELAY_MS) >= 1);
        }
        return outcomes;
    }

    /** Units that all admitted during the last finished period whose figure has arrived, in percent of the rate, plus 1. */
    private static int metered(List<Double> uses, Plan p, double now) {
        double end = Math.floor((now - DELAY_MS) / PERIOD_MS) * PERIOD_MS;
        long units = uses.stream().filter(u -> u >= end - PERIOD_MS && u < end).count();
        return 1 + (int) (100 * units * 1000 / PERIOD_MS / p.unitsPerSecond());
    }

    private static Outcomes playFleet(long seed, List<ClientRequest> requests, List<Plan> plans) {
        Settings s = PolicyHarness.metered(0, GATEWAYS, seed);
        List<PolicyHarness> fleet = new ArrayList<>();
        String[] hosts = IntStream.range(0, HOSTS).mapToObj(h -> "a" + h).toArray(String[]::new);
        for (int i = 0; i < GATEWAYS; i++) {
            Settings own = new Settings(
                    seed + i,
                    i,
                    GATEWAYS,
                    "a",
                    false,
                    s.classes(),
                    plans,
                    s.loadReportFields(),
                    s.limits(),
                    s.rules(),
                    new CoordinationSettings(false, 0, PERIOD_MS, false, 1, 0, 0, 0, 0));
            fleet.add(new PolicyHarness(0, own).withHosts(hosts));
        }
        Outcomes outcomes = new Outcomes();
        outcomes.value = value(requests);
        Map<Long, ActualBucket> stores = new HashMap<>();
        Map<Long, List<Double>> uses = new HashMap<>();
        PriorityQueue<ClientRequest> answers = new PriorityQueue<>(Comparator.comparingDouble(ClientRequest::at));
        Map<ClientRequest, String> ids = new HashMap<>();
        int serial = 0;
        for (ClientRequest t : requests) {
            for (; !answers.isEmpty() && answers.peek().at() + RESPONSE_MS <= t.at(); answers.poll()) {
                ClientRequest of = answers.peek();
                PolicyHarness g = fleet.get(of.gateway());
                g.advanceTo(of.at() + RESPONSE_MS);
                g.endAttempt(
                        ids.get(of), 0, Outcome.OK, RESPONSE_MS, metered(uses.get(of.customer()), of.plan(), g.now));
            }
            PolicyHarness g = fleet.get(t.gateway());
            g.advanceTo(t.at());
            String id = "t" + serial++;
            g.policy.requestReceived(
                    t.at(),
                    new Request(
                            id,
                            t.at() + 3000,
                            t.at(),
                            false,
                            "read",
                            t.customer(),
                            t.plan().name(),
                            1,
                            0,
                            GATEWAYS));
            boolean in = g.attemptsOf(id) > 0;
            count(outcomes, stores.computeIfAbsent(t.customer(), c -> new ActualBucket(t.plan())), t, in);
            if (in) {
                uses.computeIfAbsent(t.customer(), c -> new ArrayList<>()).add(t.at());
                ids.put(t, id);
                answers.add(t);
            }
        }
        return outcomes;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void costOfExcessOnAQuietDayIsNearThatOfADelayedView(long seed) {
        List<Plan> plans = List.of(plan("low", 0.8, 4, 1.2), plan("middle", 3, 4, 0.5), plan("high", 11, 2, 0.8));
        List<ClientRequest> requests = requests(seed, plans);
        Outcomes fleet = playFleet(seed, requests, plans);
        Outcomes late = playDelayedView(requests);
        String figures = "price %.3f, seen late %.3f; refused with hasCapacity %.3f"
                .formatted(fleet.excessCost(), late.excessCost(), fleet.rejectedWithCapacity());
        assertTrue(fleet.excessCost() <= late.excessCost() + COST_MARGIN, figures);
        assertTrue(fleet.rejectedWithCapacity() < REJECTED_WITH_CAPACITY, figures);
    }
}
