package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.AttemptResult;
import caperrudder.api.CoordinationSettings;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Idempotency;
import caperrudder.api.Outcome;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.api.SiteLimits;
import caperrudder.api.SiteRules;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a whole unevenly loaded fleet sends to cold hosts stays within what they bear, though no gateway sees the others. */
class ColdFleetTest {
    private static final double BEAT_MS = 20; // each gateway's timers run at least so often
    private static final double WARM_UP_MS = 3000; // traffic before hosts come cold: bounds and delays settle
    private static final double OUT_MS = 1000; // hosts that return cold were away so long
    private static final double COLD_MS = 6000; // and are watched so long
    private static final double UNTOLD_MS = 300; // hosts that vanish refuse connections so long before lists say so
    private static final double NET_MS = 1;
    private static final double LOAD = 0.6; // of all hosts' full capacity, before some go
    private static final int BUSY_EVERY = 5; // one gateway in so many, by chance,
    private static final double BUSY = 4; // gets so many times what the others get
    private static final double QUEUE_PER_CORE = 15;
    private static final int SEEDS = 5;

    /** A deployment: its rules, and what its hosts can do. */
    private record Site(SiteRules rules, int cores, double workMs, double clientTimeoutMs, List<String> reports) {
        double capacityPerMs() {
            return cores / workMs;
        }

        double ramp(double sinceMs) {
            double done = Math.min(1, sinceMs / rules.slowStartMs());
            return rules.slowStartInitialCapacityShare() + (1 - rules.slowStartInitialCapacityShare()) * done;
        }

        /** Requests of mean work that the rule allows in a window that begins so long after the start. */
        double budget(double sinceMs) {
            return rules.overloadMultiple() * capacityPerMs() * ramp(sinceMs) * rules.overloadWindowMs();
        }
    }

    private static final Site SLOW = new Site(
            new SiteRules(8, 500, 2, 1500, 0.17, 17_000, 0), 3, 235, 5000, List.of("inflight", "queue", "util"));
    private static final Site QUICK =
            new Site(new SiteRules(8, 500, 2.5, 3000, 0.19, 18_000, 0), 2, 75, 1500, List.of());

    /** What happens at one moment, as shares of all hosts: some come cold, some never come back. */
    private record Scene(String name, double cold, boolean known, double gone) {}

    private static final List<Scene> SCENES = List.of(
            new Scene("return", 0.25, true, 0),
            new Scene("join", 0.6, false, 0),
            new Scene("return, half of the others gone", 0.25, true, 0.375),
            new Scene("join, half of the others gone", 0.5, false, 0.25));

    /** Requests at a host; those that it can't begin yet wait in turn. */
    private static final class FakeHost {
        private final Site site;
        private final double[] freeAt;
        private final List<Double> ends = new ArrayList<>();
        final String id;
        final List<Double> got = new ArrayList<>(); // since it is cold
        double coldAt = Double.NEGATIVE_INFINITY;
        boolean up = true;

        FakeHost(String id, Site site) {
            this.id = id;
            this.site = site;
            this.freeAt = new double[site.cores()];
        }

        Host listed(HostState state) {
            return new Host(id, "a", "std", 0, state, 1, Math.max(0, coldAt));
        }

        void startCold(double now) {
            coldAt = now;
            up = true;
            Arrays.fill(freeAt, now);
            ends.clear();
        }

        int holds(double now) {
            ends.removeIf(e -> e <= now);
            return ends.size();
        }

        /** When its answer to a request of so much work leaves; negative where it turns it away. */
        double take(double now, double work) {
            if (coldAt > 0) got.add(now);
            if (holds(now) >= site.cores() * (1 + QUEUE_PER_CORE)) return -1;
            int core = IntStream.range(0, freeAt.length)
                    .boxed()
                    .min(Comparator.comparingDouble(i -> freeAt[i]))
                    .orElseThrow();
            double begin = Math.max(now, freeAt[core]);
            freeAt[core] = begin + work / (coldAt > 0 ? site.ramp(begin - coldAt) : 1);
            ends.add(freeAt[core]);
            return freeAt[core];
        }

        /** Requests beyond the budget and beyond what is put down to chance, in the worst window. */
        double excess() {
            double worst = Double.NEGATIVE_INFINITY;
            int first = 0;
            for (int last = 0; last < got.size(); last++) {
                while (got.get(first) <= got.get(last) - site.rules().overloadWindowMs()) first++;
                double from = Math.max(0, got.get(last) - site.rules().overloadWindowMs() - coldAt);
                double n = site.budget(from);
                worst = Math.max(worst, last - first + 1 - (n + 2 * Math.sqrt(n) + 2));
            }
            return worst;
        }
    }

    private record Event(double at, long order, Runnable what) {}

    /** A fleet before hosts on one simulated clock. */
    private static final class Fleet {
        private final Site site;
        private final Random random;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
        private final List<PolicyHarness> gateways = new ArrayList<>();
        private final List<FakeHost> hosts = new ArrayList<>();
        private final Map<String, FakeHost> byId = new HashMap<>();
        private final Map<String, Integer> tries = new HashMap<>(); // attempts of each request so far
        private final Map<String, Integer> out = new HashMap<>(); // the attempt under way
        private final Map<String, Double> deadlines = new HashMap<>();
        private long order;
        private double now = 100_000;
        private long asked;

        Fleet(Site site, int size, int hostCount, long seed) {
            this.site = site;
            random = new Random(seed);
            for (int i = 0; i < hostCount; i++) {
                FakeHost h = new FakeHost("h" + seed + "-" + i, site);
                hosts.add(h);
                byId.put(h.id, h);
            }
            RequestClass read = new RequestClass(
                    "read",
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    site.clientTimeoutMs() * 0.3,
                    site.clientTimeoutMs(),
                    1,
                    0.2,
                    false);
            RequestClass order = new RequestClass(
                    "order",
                    Idempotency.IDEMPOTENCY_KEY,
                    DeduplicationScope.ALL,
                    site.clientTimeoutMs(),
                    site.clientTimeoutMs() * 0.4,
                    site.clientTimeoutMs(),
                    2,
                    0,
                    false);
            RequestClass pay = new RequestClass(
                    "pay",
                    Idempotency.NOT_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    site.clientTimeoutMs() * 0.4,
                    site.clientTimeoutMs(),
                    3,
                    0.2,
                    false);
            double[] weight = IntStream.range(0, size)
                    .mapToDouble(i -> random.nextInt(BUSY_EVERY) == 0 ? BUSY : 1)
                    .toArray();
            double perMs = LOAD
                    * hostCount
                    * site.capacityPerMs()
                    / IntStream.range(0, size).mapToDouble(i -> weight[i]).sum();
            for (int i = 0; i < size; i++) {
                PolicyHarness g = new PolicyHarness(
                        now,
                        new Settings(
                                seed * 1000 + i,
                                i,
                                size,
                                "a",
                                false,
                                List.of(read, order, pay),
                                List.of(PolicyHarness.FREE),
                                site.reports(),
                                new SiteLimits(6, false, true, false, false, true, 500, 250),
                                site.rules(),
                                new CoordinationSettings(false, 0, 0, false, 1, 0, 0, 0, 0)));
                gateways.add(g);
                arrive(g, weight[i] * perMs);
                every(g, random.nextDouble() * BEAT_MS);
            }
        }

        private void at(double when, Runnable what) {
            events.add(new Event(when, order++, what));
        }

        private double exponential() {
            return -Math.log(1 - random.nextDouble());
        }

        private void every(PolicyHarness g, double delayMs) {
            at(now + delayMs, () -> {
                act(g, () -> {});
                every(g, BEAT_MS);
            });
        }

        private void arrive(PolicyHarness g, double perMs) {
            at(now + exponential() / perMs, () -> {
                String id = "r" + asked++;
                double kind = random.nextDouble();
                deadlines.put(id, now + site.clientTimeoutMs());
                act(
                        g,
                        () -> g.policy.requestReceived(
                                now,
                                new Request(
                                        id,
                                        now + site.clientTimeoutMs(),
                                        now,
                                        false,
                                        kind < 0.6 ? "read" : kind < 0.8 ? "order" : "pay",
                                        1,
                                        "free",
                                        1,
                                        0,
                                        1)));
                arrive(g, perMs);
            });
        }

        /** Lets a gateway meet something now, and carries out what it does. */
        private void act(PolicyHarness g, Runnable met) {
            g.advanceTo(now);
            met.run();
            while (!g.sent.isEmpty() || !g.cancelled.isEmpty()) {
                List<PolicyHarness.SentAttempt> sent = List.copyOf(g.sent);
                List<String> cancelled = List.copyOf(g.cancelled);
                g.sent.clear();
                g.cancelled.clear();
                sent.forEach(s -> send(g, s));
                cancelled.forEach(id -> end(g, id, tries.get(id) - 1, "", Outcome.CANCELLED, now, now + NET_MS));
            }
            g.actionLog.clear();
        }

        private void send(PolicyHarness g, PolicyHarness.SentAttempt s) {
            int attempt = tries.merge(s.id(), 1, Integer::sum) - 1;
            out.put(s.id(), attempt);
            FakeHost h = byId.get(s.host());
            if (!h.up) {
                end(g, s.id(), attempt, h.id, Outcome.CONNECT_FAILED, now, now + NET_MS);
                return;
            }
            double begun = h.coldAt;
            double answered = h.take(now, site.workMs() * exponential()) + NET_MS;
            double sentAt = now;
            if (answered < now) {
                end(g, s.id(), attempt, h.id, Outcome.REJECTED, now, now + NET_MS);
            } else if (answered > deadlines.get(s.id())) {
                end(g, s.id(), attempt, h.id, Outcome.TIMEOUT, now, deadlines.get(s.id()));
            } else {
                at(answered, () -> {
                    boolean there = h.up && h.coldAt == begun;
                    end(g, s.id(), attempt, h.id, there ? Outcome.OK : Outcome.RESET, sentAt, now);
                });
            }
        }

        private void end(
                PolicyHarness g, String id, int attempt, String host, Outcome outcome, double sentAt, double when) {
            at(when, () -> {
                if (!out.remove(id, attempt)) return;
                FakeHost h = byId.get(host);
                double[] report = h == null
                                || outcome == Outcome.CONNECT_FAILED
                                || site.reports().isEmpty()
                        ? new double[0]
                        : new double[] {h.holds(now), 0, 0};
                act(
                        g,
                        () -> g.policy.attemptEnded(
                                now,
                                new AttemptResult(
                                        id,
                                        attempt,
                                        host,
                                        outcome,
                                        now - sentAt,
                                        outcome == Outcome.OK,
                                        0,
                                        0,
                                        report)));
            });
        }

        void tell(List<Host> changes, HostListKind kind) {
            gateways.forEach(g -> act(g, () -> g.policy.hostsUpdated(now, kind, changes)));
        }

        void run(double ms) {
            double end = now + ms;
            while (!events.isEmpty() && events.peek().at() <= end) {
                Event e = events.poll();
                now = e.at();
                e.what().run();
            }
            now = end;
        }

        /** The hosts that come cold, after it all. */
        List<FakeHost> play(Scene scene) {
            int some = (int) Math.round(scene.cold() * hosts.size());
            List<FakeHost> cold = hosts.subList(0, some);
            List<FakeHost> gone = hosts.subList(some, some + (int) Math.round(scene.gone() * hosts.size()));
            if (!scene.known()) cold.forEach(h -> h.up = false);
            tell(
                    hosts.stream()
                            .filter(h -> h.up)
                            .map(h -> h.listed(HostState.RUNNING))
                            .toList(),
                    HostListKind.FULL);
            run(WARM_UP_MS - OUT_MS);
            if (scene.known()) {
                cold.forEach(h -> h.up = false);
                tell(cold.stream().map(h -> h.listed(HostState.GONE)).toList(), HostListKind.CHANGES);
            }
            run(OUT_MS);
            cold.forEach(h -> h.startCold(now));
            gone.forEach(h -> h.up = false);
            tell(cold.stream().map(h -> h.listed(HostState.RUNNING)).toList(), HostListKind.CHANGES);
            run(UNTOLD_MS);
            tell(gone.stream().map(h -> h.listed(HostState.GONE)).toList(), HostListKind.CHANGES);
            run(COLD_MS - UNTOLD_MS);
            return cold;
        }
    }

    /** No excess in any window, and on the mean at least this share of what the rule allows: they have to warm up. */
    @ParameterizedTest
    @CsvSource({"2, 12, 0.05", "14, 60, 0.1", "30, 60, 0.1", "100, 60, 0.15", "100, 120, 0.15"})
    void theSumOfAllGatewaysStaysWithinWhatAColdHostBears(int size, int hosts, double leastShare) {
        for (Site site : List.of(SLOW, QUICK)) {
            for (Scene scene : SCENES) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    List<FakeHost> cold = new Fleet(site, size, hosts, seed).play(scene);
                    double excess =
                            cold.stream().mapToDouble(FakeHost::excess).max().orElseThrow();
                    double share = cold.stream()
                                    .mapToDouble(h -> h.got.size())
                                    .average()
                                    .orElseThrow()
                            / allowed(site);
                    String told = "%s, %.0f ms a request, seed %d: excess %.1f, mean share of the budget %.2f"
                            .formatted(scene.name(), site.workMs(), seed, excess, share);
                    assertTrue(excess <= 0, told);
                    assertTrue(share >= leastShare, told);
                }
            }
        }
    }

    /** What the rule allows a cold host in all the time for which it is watched. */
    private static double allowed(Site site) {
        double meanRamp = (site.ramp(0) + site.ramp(COLD_MS)) / 2;
        return site.rules().overloadMultiple() * site.capacityPerMs() * meanRamp * COLD_MS;
    }
}
