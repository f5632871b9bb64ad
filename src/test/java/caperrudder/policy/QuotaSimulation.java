package caperrudder.policy;

import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.api.Sharing;
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
 * Customers of a fleet, the true state of their quotas, and a meter that tells of it late. Who lets in is played
 * against it: the real modules, or one that sees the true state late.
 */
final class QuotaSimulation {
    static final double PERIOD_MS = 1000; // of the meter
    static final double LATE_MS = 800; // from a period's end to its figure; also how late the other policy sees
    private static final int HOSTS_PER_GATEWAY = 4; // enough that only quotas decide
    private static final double COMES_AGAIN = 0.8; // share of the refused that try once more
    private static final double BACKOFF_MS = 50; // before the first further try; doubles

    /** One try: {@code spread} gateways from {@code first} on may get it, and this gateway did. */
    record ClientRequest(
            double at, int gateway, long customer, Plan plan, double units, int first, int spread, int further) {
        double worth() {
            return plan.valueFactor() * units;
        }
    }

    /** Decides on a try when it comes, and is told of the end of those let in, with the meter's word. */
    interface Admission {
        boolean admits(ClientRequest t);

        default void ended(ClientRequest t, double at, int usedPct) {}
    }

    /** Shares of the worth that one who sees all first tries would let in. */
    record Result(double served, double price, double withRoom) {
        double net() {
            return served - price;
        }
    }

    private final int gateways;
    private final List<ClientRequest> tries;
    private final double answerMs;
    private final Map<Long, ActualUse> uses = new HashMap<>();

    /** {@code answerMs}: how long an attempt is out. */
    QuotaSimulation(int gateways, List<ClientRequest> tries, double answerMs) {
        this.gateways = gateways;
        this.tries = tries;
        this.answerMs = answerMs;
    }

    private ActualUse use(ClientRequest t) {
        return uses.computeIfAbsent(t.customer(), c -> new ActualUse(t.plan()));
    }

    private record End(double at, ClientRequest of) {}

    private double worthInside() {
        QuotaSimulation all = new QuotaSimulation(gateways, tries, answerMs);
        PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::at));
        double worth = 0;
        for (ClientRequest t : tries) {
            for (; !ends.isEmpty() && ends.peek().at() <= t.at(); ends.poll())
                all.use(ends.peek().of()).ended(ends.peek().at());
            if (!all.use(t).holds(t.at(), t.units())) continue;
            all.use(t).take(t.at(), t.units());
            ends.add(new End(t.at() + answerMs, t));
            worth += t.worth();
        }
        return worth;
    }

    /** Plays all tries, and the further ones of those that are refused. */
    Result play(Admission policy, long seed) {
        uses.clear();
        Random random = new Random(seed);
        PriorityQueue<ClientRequest> coming = new PriorityQueue<>(Comparator.comparingDouble(ClientRequest::at));
        coming.addAll(tries);
        PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::at));
        double served = 0;
        double cost = 0;
        int made = 0;
        int withRoom = 0;
        while (!coming.isEmpty()) {
            ClientRequest t = coming.poll();
            for (; !ends.isEmpty() && ends.peek().at() <= t.at(); ends.poll()) {
                End e = ends.peek();
                use(e.of()).ended(e.at());
                policy.ended(e.of(), e.at(), use(e.of()).metered(e.at()));
            }
            made++;
            boolean room = use(t).halfUnused(t.at(), t.units());
            if (policy.admits(t)) {
                if (use(t).take(t.at(), t.units())) served += t.worth();
                else cost += t.worth() * t.plan().overQuotaCost();
                ends.add(new End(t.at() + answerMs, t));
                continue;
            }
            withRoom += room ? 1 : 0;
            if (t.further() == 0 || random.nextDouble() > COMES_AGAIN) continue;
            int other = (t.first() + random.nextInt(t.spread())) % gateways;
            double wait = BACKOFF_MS * Math.pow(2, 2 - t.further()) * (0.5 + random.nextDouble());
            coming.add(new ClientRequest(
                    t.at() + wait, other, t.customer(), t.plan(), t.units(), t.first(), t.spread(), t.further() - 1));
        }
        double worth = worthInside();
        return new Result(served / worth, cost / worth, (double) withRoom / made);
    }

    Admission seenLate() {
        return t -> use(t).holds(t.at() - LATE_MS, t.units());
    }

    /** The real modules, one a gateway, before hosts that have room for all. */
    Admission fleet(List<Plan> plans, double maxUnits, long seed) {
        Settings s = FakeGateway.metered(0, gateways, seed);
        List<FakeGateway> fleet = new ArrayList<>();
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
                    new Sharing(false, 0, PERIOD_MS, false, maxUnits, 0, 0, 0, 0));
            fleet.add(new FakeGateway(0, own).withHosts(hosts));
        }
        return new Admission() {
            private final Map<ClientRequest, String> ids = new HashMap<>();

            @Override
            public boolean admits(ClientRequest t) {
                FakeGateway g = fleet.get(t.gateway());
                g.runTo(t.at());
                String id = "t" + ids.size() + "-" + t.at();
                g.brain.requestReceived(
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
                                t.first(),
                                t.spread()));
                boolean in = g.sends(id) > 0;
                if (in) ids.put(t, id);
                return in;
            }

            @Override
            public void ended(ClientRequest t, double at, int usedPct) {
                FakeGateway g = fleet.get(t.gateway());
                g.runTo(at);
                g.end(ids.get(t), 0, Outcome.OK, answerMs, usedPct);
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
     * Most customers use a part of their quota, some nearly all, some ask far more for seconds or all the time;
     * each comes in mostly by some gateways of its set.
     */
    static List<ClientRequest> tries(
            int gateways,
            List<Plan> plans,
            int[] customers,
            CustomerBehaviour habits,
            double answerMs,
            double runMs,
            long seed) {
        Random r = new Random(seed);
        List<ClientRequest> all = new ArrayList<>();
        long customer = 0;
        for (int p = 0; p < customers.length; p++) {
            Plan plan = plans.get(p);
            double quota =
                    plan.unitsPerSecond() > 0 ? plan.unitsPerSecond() : plan.concurrencyLimit() * 1000 / answerMs / 2.5;
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
