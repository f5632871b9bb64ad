package caperrudder.policy;

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
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Customers of a fleet, the actual state of their quotas, and a meter that reports it late. Admission is played
 * against it: by the real policy, or by one that sees the actual state late.
 */
final class QuotaSimulation {
    static final double PERIOD_MS = 1000; // of the meter
    static final double DELAY_MS = 800; // from a period's end to its figure; also the delay of the other policy's view
    private static final int HOSTS_PER_GATEWAY = 4; // enough that only quotas decide
    private static final double RETRY_SHARE = 0.8; // of the rejected clients
    private static final double BACKOFF_MS = 50; // before the first retry; doubles

    /** A request: {@code replicaCount} gateways from {@code firstReplica} on may receive it, and {@code gateway} did. */
    record ClientRequest(
            double at,
            int gateway,
            long customer,
            Plan plan,
            double units,
            int firstReplica,
            int replicaCount,
            int retriesLeft) {
        double value() {
            return plan.valueFactor() * units;
        }
    }

    /** Decides on a request when it arrives, and is notified of the end of those admitted, with the meter's figure. */
    interface Admission {
        boolean admits(ClientRequest t);

        default void responded(ClientRequest t, double at, int usedPercentPlusOne) {}
    }

    /** Shares of the value that a policy with a view of all first requests would admit. */
    record Result(double served, double excessCost, double rejectedWithCapacity) {
        double net() {
            return served - excessCost;
        }
    }

    private final int gateways;
    private final List<ClientRequest> requests;
    private final double responseMs;
    private final Map<Long, ActualUse> uses = new HashMap<>();

    /** {@code responseMs}: how long an attempt is open. */
    QuotaSimulation(int gateways, List<ClientRequest> requests, double responseMs) {
        this.gateways = gateways;
        this.requests = requests;
        this.responseMs = responseMs;
    }

    private ActualUse use(ClientRequest t) {
        return uses.computeIfAbsent(t.customer(), c -> new ActualUse(t.plan()));
    }

    private record End(double at, ClientRequest of) {}

    private double valueInside() {
        QuotaSimulation all = new QuotaSimulation(gateways, requests, responseMs);
        PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::at));
        double value = 0;
        for (ClientRequest t : requests) {
            for (; !ends.isEmpty() && ends.peek().at() <= t.at(); ends.poll())
                all.use(ends.peek().of()).ended(ends.peek().at());
            if (!all.use(t).admits(t.at(), t.units())) continue;
            all.use(t).take(t.at(), t.units());
            ends.add(new End(t.at() + responseMs, t));
            value += t.value();
        }
        return value;
    }

    /** Plays all requests, and the retries of those that are rejected. */
    Result play(Admission policy, long seed) {
        uses.clear();
        Random random = new Random(seed);
        PriorityQueue<ClientRequest> coming = new PriorityQueue<>(Comparator.comparingDouble(ClientRequest::at));
        coming.addAll(requests);
        PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::at));
        double served = 0;
        double cost = 0;
        int made = 0;
        int rejectedWithCapacity = 0;
        while (!coming.isEmpty()) {
            ClientRequest t = coming.poll();
            for (; !ends.isEmpty() && ends.peek().at() <= t.at(); ends.poll()) {
                End e = ends.peek();
                use(e.of()).ended(e.at());
                policy.responded(e.of(), e.at(), use(e.of()).metered(e.at()));
            }
            made++;
            boolean hasCapacity = use(t).isHalfUnused(t.at(), t.units());
            if (policy.admits(t)) {
                if (use(t).take(t.at(), t.units())) served += t.value();
                else cost += t.value() * t.plan().overQuotaCostRatio();
                ends.add(new End(t.at() + responseMs, t));
                continue;
            }
            rejectedWithCapacity += hasCapacity ? 1 : 0;
            if (t.retriesLeft() == 0 || random.nextDouble() > RETRY_SHARE) continue;
            int other = (t.firstReplica() + random.nextInt(t.replicaCount())) % gateways;
            double wait = BACKOFF_MS * Math.pow(2, 2 - t.retriesLeft()) * (0.5 + random.nextDouble());
            coming.add(new ClientRequest(
                    t.at() + wait,
                    other,
                    t.customer(),
                    t.plan(),
                    t.units(),
                    t.firstReplica(),
                    t.replicaCount(),
                    t.retriesLeft() - 1));
        }
        double value = valueInside();
        return new Result(served / value, cost / value, (double) rejectedWithCapacity / made);
    }

    Admission delayedView() {
        return t -> use(t).admits(t.at() - DELAY_MS, t.units());
    }

    /** The real policy, one a gateway, before hosts with capacity for all. */
    Admission fleet(List<Plan> plans, double maxUnits, long seed) {
        Settings s = PolicyHarness.metered(0, gateways, seed);
        List<PolicyHarness> fleet = new ArrayList<>();
        String[] hosts = IntStream.range(0, HOSTS_PER_GATEWAY * gateways)
                .mapToObj(h -> "a" + h)
                .toArray(String[]::new);
        for (int i = 0; i < gateways; i++) {
            Settings own = new Settings(
                    seed + i,
                    i,
                    gateways,
                    "a",
                    false,
                    s.classes(),
                    plans,
                    s.loadReportFields(),
                    s.limits(),
                    s.rules(),
                    new CoordinationSettings(false, 0, PERIOD_MS, false, maxUnits, 0, 0, 0, 0));
            fleet.add(new PolicyHarness(0, own).withHosts(hosts));
        }
        return new Admission() {
            private final Map<ClientRequest, String> ids = new HashMap<>();

            @Override
            public boolean admits(ClientRequest t) {
                PolicyHarness g = fleet.get(t.gateway());
                g.advanceTo(t.at());
                String id = "t" + ids.size() + "-" + t.at();
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
                                t.units(),
                                t.firstReplica(),
                                t.replicaCount()));
                boolean in = g.attemptsOf(id) > 0;
                if (in) ids.put(t, id);
                return in;
            }

            @Override
            public void responded(ClientRequest t, double at, int usedPercentPlusOne) {
                PolicyHarness g = fleet.get(t.gateway());
                g.advanceTo(at);
                g.endAttempt(ids.get(t), 0, Outcome.OK, responseMs, usedPercentPlusOne);
            }
        };
    }

    /** How the customers of a deployment behave. */
    record CustomerBehaviour(
            double heavyShare,
            double heavyTimes,
            double spikyShare,
            double spikeTimes,
            double spikeMs,
            ToDoubleFunction<Random> units) {}

    /**
     * Most customers use a part of their quota, some nearly all, some request far more for seconds or all the time;
     * each arrives mostly at some gateways of its replica set.
     */
    static List<ClientRequest> requests(
            int gateways,
            List<Plan> plans,
            int[] customers,
            CustomerBehaviour habits,
            double responseMs,
            double runMs,
            long seed) {
        Random r = new Random(seed);
        List<ClientRequest> all = new ArrayList<>();
        long customer = 0;
        for (int p = 0; p < customers.length; p++) {
            Plan plan = plans.get(p);
            double quota = plan.unitsPerSecond() > 0
                    ? plan.unitsPerSecond()
                    : plan.concurrencyLimit() * 1000 / responseMs / 2.5;
            for (int i = 0; i < customers[p]; i++) {
                customer++;
                double kind = r.nextDouble();
                boolean heavy = kind < habits.heavyShare();
                boolean spiky = !heavy && kind < habits.heavyShare() + habits.spikyShare();
                double use = heavy ? habits.heavyTimes() : kind > 0.85 ? 0.9 : 0.15 + 0.3 * r.nextDouble();
                int spread = Math.max(2, (int) (gateways * (0.5 + 0.5 * r.nextDouble())));
                int first = r.nextInt(gateways);
                double spikeAt = r.nextDouble() * runMs;
                for (double at = 1; at < runMs; ) {
                    boolean spike = spiky && at >= spikeAt && at < spikeAt + habits.spikeMs();
                    double units = habits.units().applyAsDouble(r);
                    int gateway = (first + (int) (spread * Math.pow(r.nextDouble(), 2))) % gateways;
                    all.add(new ClientRequest(at, gateway, customer, plan, units, first, spread, 2));
                    double perSecond =
                            (spike ? habits.spikeTimes() : use) * quota / (plan.unitsPerSecond() > 0 ? units : 1);
                    at += -Math.log(1 - r.nextDouble()) * 1000 / perSecond;
                }
            }
        }
        all.sort(Comparator.comparingDouble(ClientRequest::at));
        return all;
    }
}
