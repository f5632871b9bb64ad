package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.CoordinationSettings;
import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
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
 * Customers, the true state of their quotas and a late meter, before hosts that slow down with the requests open at them.
 * Rejected clients retry. So what is admitted beyond a quota also costs those inside it time.
 */
final class LoadedQuotaSimulation {
    private static final double TICK_MS = 20;
    private static final double HONOURING_SHARE = 0.7; // of the clients: they wait as long as Retry-After says
    private static final double BACKOFF_MS = 150; // the longest first backoff of a client; doubles
    private static final double NETWORK_MS = 2; // of an attempt, there and back
    private static final int LIST_NUMBERS = 10_000; // of hosts: their names sort as their numbers

    /** Capacity of the hosts, work of a request, and the classes that requests are drawn from. */
    record Load(int hosts, int cores, double workMsPerUnit, List<RequestClass> classes) {}

    /** Shares of the value that a policy with a view of all first requests would admit; of the requests; a median time. */
    record Result(
            double served, double excessCost, double rejectedWithCapacity, double attemptsPerRequest, double medianMs) {
        static Result mean(List<Result> all) {
            return new Result(
                    mean(all, Result::served),
                    mean(all, Result::excessCost),
                    mean(all, Result::rejectedWithCapacity),
                    mean(all, Result::attemptsPerRequest),
                    mean(all, Result::medianMs));
        }

        private static double mean(List<Result> all, ToDoubleFunction<Result> figure) {
            return all.stream().mapToDouble(figure).average().orElseThrow();
        }

        @Override
        public String toString() {
            return "served %.3f, price %.3f, with hasCapacity %.3f, tries %.2f, median %.0f ms"
                    .formatted(served, excessCost, rejectedWithCapacity, attemptsPerRequest, medianMs);
        }
    }

    /** The gateways under test: they send or reject each request through the simulation, at once or later. */
    interface Gateways {
        void requestArrived(double now, Client client);

        void responded(double now, Client client, double latencyMs, int usedPercentPlusOne);

        void clientGaveUp(double now, Client client);

        void tick(double now);
    }

    /** A client with one request, over all of its retries. */
    static final class Client {
        final QuotaSimulation.ClientRequest first;
        final RequestClass requestClass;
        final double workMs;
        int gateway;
        int triesLeft;
        double triedAt;
        String id; // of the present request
        boolean waits;
        boolean inside;
        int host = -1;
        int attempts; // of the present request
        double sentAt;

        Client(QuotaSimulation.ClientRequest first, RequestClass requestClass, double workMs) {
            this.first = first;
            this.requestClass = requestClass;
            this.workMs = workMs;
            this.gateway = first.gateway();
            this.triesLeft = first.retriesLeft();
        }

        double value() {
            return first.value() * requestClass.priorityWeight();
        }
    }

    private record Event(double at, long order, Runnable what) {}

    private final int gateways;
    private final Load load;
    private final List<QuotaSimulation.ClientRequest> requests;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final Map<Long, ActualUse> uses = new HashMap<>();
    private final Map<String, Client> out = new HashMap<>();
    private final List<Double> times = new ArrayList<>();
    private QueueingHosts hosts;
    private Random random;
    private Gateways policy;
    private long order;
    private double now;
    private double served;
    private double cost;
    private int made;
    private int rejectedWithCapacity;

    LoadedQuotaSimulation(int gateways, List<QuotaSimulation.ClientRequest> requests, Load load) {
        this.gateways = gateways;
        this.requests = requests;
        this.load = load;
    }

    private ActualUse use(Client client) {
        return uses.computeIfAbsent(client.first.customer(), c -> new ActualUse(client.first.plan()));
    }

    private void at(double time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    /** Plays all requests, and the retries of those that are rejected. */
    Result play(Gateways decides, long seed) {
        policy = decides;
        random = new Random(seed);
        hosts = new QueueingHosts(load.hosts(), load.cores());
        for (QuotaSimulation.ClientRequest t : requests) {
            RequestClass requestClass =
                    load.classes().get(random.nextInt(load.classes().size()));
            double workMs = load.workMsPerUnit() * t.units() * (0.6 + 0.8 * random.nextDouble());
            Client client = new Client(t, requestClass, workMs);
            at(t.at(), () -> sendRequest(client));
        }
        double end = requests.get(requests.size() - 1).at();
        for (double beat = TICK_MS; beat < end; beat += TICK_MS) {
            at(beat, () -> policy.tick(now));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.what().run();
        }
        double value = valueInside();
        times.sort(Comparator.naturalOrder());
        return new Result(
                served / value,
                cost / value,
                (double) rejectedWithCapacity / made,
                (double) made / requests.size(),
                times.get(times.size() / 2));
    }

    /** What a policy with a view of all first requests would admit, if attempts took their work alone. */
    private double valueInside() {
        Map<Long, ActualUse> seen = new HashMap<>();
        double meanValue = load.classes().stream()
                .mapToDouble(RequestClass::priorityWeight)
                .average()
                .orElse(1);
        PriorityQueue<Event> ends = new PriorityQueue<>(Comparator.comparingDouble(Event::at));
        double value = 0;
        for (QuotaSimulation.ClientRequest t : requests) {
            while (!ends.isEmpty() && ends.peek().at() <= t.at()) {
                ends.poll().what().run();
            }
            ActualUse use = seen.computeIfAbsent(t.customer(), c -> new ActualUse(t.plan()));
            if (!use.admits(t.at(), t.units())) continue;
            use.take(t.at(), t.units());
            double endAt = t.at() + load.workMsPerUnit() * t.units();
            ends.add(new Event(endAt, 0, () -> use.ended(endAt)));
            value += t.value() * meanValue;
        }
        return value;
    }

    private void sendRequest(Client client) {
        client.id = "r" + order++;
        client.triedAt = now;
        client.waits = true;
        client.attempts = 0;
        made++;
        String id = client.id;
        out.put(id, client);
        at(now + client.requestClass.clientTimeoutMs(), () -> giveUp(client, id));
        policy.requestArrived(now, client);
    }

    private void giveUp(Client client, String id) {
        if (!client.waits || !client.id.equals(id)) return;
        client.waits = false;
        policy.clientGaveUp(now, client);
        times.add(now - client.first.at());
    }

    /** An attempt for the client's present request; the first one takes the units. */
    void send(Client client, int host) {
        client.host = host;
        client.sentAt = now;
        if (client.attempts++ > 0) {
            use(client).retry(now);
        } else {
            client.inside = use(client).take(now, client.first.units());
            if (!client.inside) cost += client.value() * client.first.plan().overQuotaCostRatio();
        }
        hosts.begin(host, now, client.id, client.workMs + NETWORK_MS);
        awaitNext(host);
    }

    private void awaitNext(int host) {
        QueueingHosts.Completion next = hosts.next(host);
        if (next != null) at(next.at(), () -> complete(next));
    }

    private void complete(QueueingHosts.Completion completion) {
        if (!hosts.isCurrent(completion)) return;
        Client client = take(completion.request());
        out.remove(client.id);
        policy.responded(now, client, now - client.sentAt, use(client).metered(now));
        if (!client.waits) return;
        client.waits = false;
        double time = now - client.first.at();
        times.add(time);
        if (client.inside && time <= client.requestClass.latencyObjectiveMs()) served += client.value();
    }

    private Client take(String id) {
        Client client = out.get(id);
        hosts.end(client.host, now, id);
        use(client).ended(now);
        awaitNext(client.host);
        client.host = -1;
        return client;
    }

    /** An attempt is cancelled by its gateway; the host drops it. */
    void cancel(Client client) {
        if (client.host >= 0) take(client.id);
    }

    void fail(Client client) {
        if (client == null || !client.waits) return;
        client.waits = false;
        times.add(now - client.first.at());
    }

    void reject(Client client, double retryAfterMs) {
        if (!client.waits) return;
        client.waits = false;
        out.remove(client.id);
        rejectedWithCapacity += use(client).isHalfUnused(now, client.first.units()) ? 1 : 0;
        if (client.triesLeft == 0) {
            times.add(now - client.first.at());
            return;
        }
        double wait = BACKOFF_MS * random.nextDouble() * Math.pow(2, client.first.retriesLeft() - client.triesLeft);
        if (random.nextDouble() < HONOURING_SHARE) wait = Math.max(wait, retryAfterMs);
        client.triesLeft--;
        client.gateway = (client.first.firstReplica() + random.nextInt(client.first.replicaCount())) % gateways;
        at(now + wait, () -> sendRequest(client));
    }

    /** A policy that sees the actual state of the quotas late, and picks hosts at random. */
    Gateways delayedView() {
        return new Gateways() {
            @Override
            public void requestArrived(double time, Client client) {
                boolean hasCapacity = use(client).admits(time - QuotaSimulation.DELAY_MS, client.first.units());
                if (hasCapacity) {
                    send(client, random.nextInt(load.hosts()));
                } else {
                    reject(client, 0);
                }
            }

            @Override
            public void responded(double time, Client client, double latencyMs, int usedPercentPlusOne) {}

            @Override
            public void clientGaveUp(double time, Client client) {
                cancel(client);
            }

            @Override
            public void tick(double time) {}
        };
    }

    /** The real policy, one a gateway. */
    Gateways fleet(List<Plan> plans, double maxUnits, long seed) {
        return new Fleet(plans, maxUnits, seed);
    }

    private static String hostName(int host) {
        return "a" + (LIST_NUMBERS + host);
    }

    private static int hostNumber(String name) {
        return Integer.parseInt(name.substring(1)) - LIST_NUMBERS;
    }

    /** The policies, and how far the actions of each have been carried out. */
    private final class Fleet implements Gateways {
        private final List<PolicyHarness> harnesses = new ArrayList<>();
        private final int[] sent = new int[gateways];
        private final int[] rejected = new int[gateways];
        private final int[] failed = new int[gateways];
        private final int[] cancelled = new int[gateways];

        Fleet(List<Plan> plans, double maxUnits, long seed) {
            Settings s = PolicyHarness.metered(0, gateways, seed);
            String[] names = IntStream.range(0, load.hosts())
                    .mapToObj(LoadedQuotaSimulation::hostName)
                    .toArray(String[]::new);
            for (int i = 0; i < gateways; i++) {
                Settings own = new Settings(
                        seed + i,
                        i,
                        gateways,
                        "a",
                        false,
                        load.classes(),
                        plans,
                        List.of(),
                        s.limits(),
                        s.rules(),
                        new CoordinationSettings(false, 0, QuotaSimulation.PERIOD_MS, false, maxUnits, 0, 0, 0, 0));
                harnesses.add(new PolicyHarness(0, own).withHosts(names));
            }
        }

        @Override
        public void requestArrived(double time, Client client) {
            PolicyHarness harness = runTo(client.gateway, time);
            QuotaSimulation.ClientRequest t = client.first;
            harness.policy.requestReceived(
                    time,
                    new Request(
                            client.id,
                            time + client.requestClass.clientTimeoutMs(),
                            time,
                            false,
                            client.requestClass.name(),
                            t.customer(),
                            t.plan().name(),
                            t.units(),
                            t.firstReplica(),
                            t.replicaCount()));
            carryOut(client.gateway);
        }

        @Override
        public void responded(double time, Client client, double latencyMs, int usedPercentPlusOne) {
            end(client, Outcome.OK, latencyMs, usedPercentPlusOne);
        }

        private void end(Client client, Outcome outcome, double latencyMs, int usedPercentPlusOne) {
            PolicyHarness harness = runTo(client.gateway, now);
            harness.policy.attemptEnded(
                    now,
                    new AttemptResult(
                            client.id,
                            client.attempts - 1,
                            harness.lastHostOf(client.id),
                            outcome,
                            latencyMs,
                            outcome == Outcome.OK,
                            usedPercentPlusOne,
                            0,
                            new double[0]));
            carryOut(client.gateway);
        }

        @Override
        public void clientGaveUp(double time, Client client) {
            PolicyHarness harness = runTo(client.gateway, time);
            harness.policy.clientDisconnected(time, client.id);
            carryOut(client.gateway);
        }

        @Override
        public void tick(double time) {
            for (int i = 0; i < gateways; i++) {
                runTo(i, time);
                carryOut(i);
            }
        }

        private PolicyHarness runTo(int gateway, double time) {
            PolicyHarness harness = harnesses.get(gateway);
            harness.advanceTo(time);
            return harness;
        }

        private void carryOut(int gateway) {
            PolicyHarness harness = harnesses.get(gateway);
            while (sent[gateway] < harness.sent.size()) {
                PolicyHarness.SentAttempt next = harness.sent.get(sent[gateway]++);
                send(out.get(next.id()), hostNumber(next.host()));
            }
            while (rejected[gateway] < harness.rejected.size()) {
                int next = rejected[gateway]++;
                reject(out.get(harness.rejected.get(next)), harness.retryAfter.get(next));
            }
            while (failed[gateway] < harness.failed.size()) {
                fail(out.get(harness.failed.get(failed[gateway]++)));
            }
            while (cancelled[gateway] < harness.cancelled.size()) {
                Client client = out.get(harness.cancelled.get(cancelled[gateway]++));
                if (client == null || client.host < 0) continue;
                double latencyMs = now - client.sentAt;
                cancel(client);
                end(client, Outcome.CANCELLED, latencyMs, 0);
            }
        }
    }
}
