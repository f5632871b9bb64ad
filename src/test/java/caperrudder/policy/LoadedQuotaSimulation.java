package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
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
 * Customers, the true state of their quotas and a late meter, before hosts whose answers slow with what is out.
 * Clients that are refused come again. So what is let in beyond a quota also costs those inside it time.
 */
final class LoadedQuotaSimulation {
    private static final double BEAT_MS = 20;
    private static final double HONOURS = 0.7; // share of the clients that wait as long as a refusal tells
    private static final double BACKOFF_MS = 150; // the longest of the shortest own waits of a client; doubles
    private static final double NETWORK_MS = 2; // of an attempt, there and back
    private static final int LIST_NUMBERS = 10_000; // of hosts: their names sort as their numbers

    /** What the hosts can do, what requests ask of them, and the classes that requests are of, one drawn for each. */
    record Load(int hosts, int cores, double workMsPerUnit, List<RequestClass> classes) {}

    /** Shares of the worth that one who sees all first tries would let in; of the tries; a median time. */
    record Result(double served, double price, double withRoom, double triesPerRequest, double medianMs) {
        static Result mean(List<Result> all) {
            return new Result(
                    mean(all, Result::served),
                    mean(all, Result::price),
                    mean(all, Result::withRoom),
                    mean(all, Result::triesPerRequest),
                    mean(all, Result::medianMs));
        }

        private static double mean(List<Result> all, ToDoubleFunction<Result> figure) {
            return all.stream().mapToDouble(figure).average().orElseThrow();
        }

        @Override
        public String toString() {
            return "served %.3f, price %.3f, with room %.3f, tries %.2f, median %.0f ms"
                    .formatted(served, price, withRoom, triesPerRequest, medianMs);
        }
    }

    /** Decides on the tries of clients: it sends or refuses each through the world, at once or later. */
    interface Gateways {
        void arrives(double now, Client client);

        void ended(double now, Client client, double latencyMs, int usedPercent);

        void left(double now, Client client);

        void beat(double now);
    }

    /** A client with one request, over all of its tries. */
    static final class Client {
        final QuotaSimulation.ClientRequest first;
        final RequestClass requestClass;
        final double workMs;
        int gateway;
        int triesLeft;
        double triedAt;
        String id; // of the present try
        boolean waits;
        boolean inside;
        int host = -1;
        int attempts; // of the present try
        double sentAt;

        Client(QuotaSimulation.ClientRequest first, RequestClass requestClass, double workMs) {
            this.first = first;
            this.requestClass = requestClass;
            this.workMs = workMs;
            this.gateway = first.gateway();
            this.triesLeft = first.further();
        }

        double worth() {
            return first.worth() * requestClass.priorityWeight();
        }
    }

    private record Event(double at, long order, Runnable what) {}

    private final int gateways;
    private final Load load;
    private final List<QuotaSimulation.ClientRequest> tries;
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
    private int withRoom;

    LoadedQuotaSimulation(int gateways, List<QuotaSimulation.ClientRequest> tries, Load load) {
        this.gateways = gateways;
        this.tries = tries;
        this.load = load;
    }

    private ActualUse use(Client client) {
        return uses.computeIfAbsent(client.first.customer(), c -> new ActualUse(client.first.plan()));
    }

    private void at(double time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    /** Plays all tries, and the further ones of those that are refused. */
    Result play(Gateways decides, long seed) {
        policy = decides;
        random = new Random(seed);
        hosts = new QueueingHosts(load.hosts(), load.cores());
        for (QuotaSimulation.ClientRequest t : tries) {
            RequestClass requestClass =
                    load.classes().get(random.nextInt(load.classes().size()));
            double workMs = load.workMsPerUnit() * t.units() * (0.6 + 0.8 * random.nextDouble());
            Client client = new Client(t, requestClass, workMs);
            at(t.at(), () -> tries(client));
        }
        double end = tries.get(tries.size() - 1).at();
        for (double beat = BEAT_MS; beat < end; beat += BEAT_MS) {
            at(beat, () -> policy.beat(now));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.what().run();
        }
        double worth = worthInside();
        times.sort(Comparator.naturalOrder());
        return new Result(
                served / worth,
                cost / worth,
                (double) withRoom / made,
                (double) made / tries.size(),
                times.get(times.size() / 2));
    }

    /** What one who sees all first tries would let in, if attempts took their work alone. */
    private double worthInside() {
        Map<Long, ActualUse> seen = new HashMap<>();
        double meanWorth = load.classes().stream()
                .mapToDouble(RequestClass::priorityWeight)
                .average()
                .orElse(1);
        PriorityQueue<Event> ends = new PriorityQueue<>(Comparator.comparingDouble(Event::at));
        double worth = 0;
        for (QuotaSimulation.ClientRequest t : tries) {
            while (!ends.isEmpty() && ends.peek().at() <= t.at()) {
                ends.poll().what().run();
            }
            ActualUse use = seen.computeIfAbsent(t.customer(), c -> new ActualUse(t.plan()));
            if (!use.holds(t.at(), t.units())) continue;
            use.take(t.at(), t.units());
            double endAt = t.at() + load.workMsPerUnit() * t.units();
            ends.add(new Event(endAt, 0, () -> use.ended(endAt)));
            worth += t.worth() * meanWorth;
        }
        return worth;
    }

    private void tries(Client client) {
        client.id = "r" + order++;
        client.triedAt = now;
        client.waits = true;
        client.attempts = 0;
        made++;
        String id = client.id;
        out.put(id, client);
        at(now + client.requestClass.deadlineMs(), () -> givesUp(client, id));
        policy.arrives(now, client);
    }

    private void givesUp(Client client, String id) {
        if (!client.waits || !client.id.equals(id)) return;
        client.waits = false;
        policy.left(now, client);
        times.add(now - client.first.at());
    }

    /** An attempt of the try that the client makes now; the first one takes the units. */
    void send(Client client, int host) {
        client.host = host;
        client.sentAt = now;
        if (client.attempts++ > 0) {
            use(client).again(now);
        } else {
            client.inside = use(client).take(now, client.first.units());
            if (!client.inside) cost += client.worth() * client.first.plan().overQuotaCost();
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
        policy.ended(now, client, now - client.sentAt, use(client).metered(now));
        if (!client.waits) return;
        client.waits = false;
        double time = now - client.first.at();
        times.add(time);
        if (client.inside && time <= client.requestClass.latencyObjectiveMs()) served += client.worth();
    }

    private Client take(String id) {
        Client client = out.get(id);
        hosts.end(client.host, now, id);
        use(client).ended(now);
        awaitNext(client.host);
        client.host = -1;
        return client;
    }

    /** An attempt is given up by its gateway; the host drops it. */
    void cancel(Client client) {
        if (client.host >= 0) take(client.id);
    }

    void fail(Client client) {
        if (client == null || !client.waits) return;
        client.waits = false;
        times.add(now - client.first.at());
    }

    void refuse(Client client, double retryAfterMs) {
        if (!client.waits) return;
        client.waits = false;
        out.remove(client.id);
        withRoom += use(client).halfUnused(now, client.first.units()) ? 1 : 0;
        if (client.triesLeft == 0) {
            times.add(now - client.first.at());
            return;
        }
        double wait = BACKOFF_MS * random.nextDouble() * Math.pow(2, client.first.further() - client.triesLeft);
        if (random.nextDouble() < HONOURS) wait = Math.max(wait, retryAfterMs);
        client.triesLeft--;
        client.gateway = (client.first.first() + random.nextInt(client.first.spread())) % gateways;
        at(now + wait, () -> tries(client));
    }

    /** One that sees the true state of the quotas late, and takes hosts by chance. */
    Gateways seenLate() {
        return new Gateways() {
            @Override
            public void arrives(double time, Client client) {
                boolean room = use(client).holds(time - QuotaSimulation.LATE_MS, client.first.units());
                if (room) {
                    send(client, random.nextInt(load.hosts()));
                } else {
                    refuse(client, 0);
                }
            }

            @Override
            public void ended(double time, Client client, double latencyMs, int usedPercent) {}

            @Override
            public void left(double time, Client client) {
                cancel(client);
            }

            @Override
            public void beat(double time) {}
        };
    }

    /** The real modules, one a gateway. */
    Gateways fleet(List<Plan> plans, double maxUnits, long seed) {
        return new Fleet(plans, maxUnits, seed);
    }

    private static String hostName(int host) {
        return "a" + (LIST_NUMBERS + host);
    }

    private static int hostNumber(String name) {
        return Integer.parseInt(name.substring(1)) - LIST_NUMBERS;
    }

    /** The modules, and how far what each said has been carried out. */
    private final class Fleet implements Gateways {
        private final List<FakeGateway> modules = new ArrayList<>();
        private final int[] sent = new int[gateways];
        private final int[] refused = new int[gateways];
        private final int[] failed = new int[gateways];
        private final int[] cancelled = new int[gateways];

        Fleet(List<Plan> plans, double maxUnits, long seed) {
            Settings s = FakeGateway.metered(0, gateways, seed);
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
                        new Sharing(false, 0, QuotaSimulation.PERIOD_MS, false, maxUnits, 0, 0, 0, 0));
                modules.add(new FakeGateway(0, own).withHosts(names));
            }
        }

        @Override
        public void arrives(double time, Client client) {
            FakeGateway module = runTo(client.gateway, time);
            QuotaSimulation.ClientRequest t = client.first;
            module.brain.requestReceived(
                    time,
                    new Request(
                            client.id,
                            time + client.requestClass.deadlineMs(),
                            time,
                            false,
                            client.requestClass.name(),
                            t.customer(),
                            t.plan().name(),
                            t.units(),
                            t.first(),
                            t.spread()));
            carryOut(client.gateway);
        }

        @Override
        public void ended(double time, Client client, double latencyMs, int usedPercent) {
            end(client, Outcome.OK, latencyMs, usedPercent);
        }

        private void end(Client client, Outcome outcome, double latencyMs, int usedPercent) {
            FakeGateway module = runTo(client.gateway, now);
            module.brain.attemptEnded(
                    now,
                    new AttemptResult(
                            client.id,
                            client.attempts - 1,
                            module.hostOf(client.id),
                            outcome,
                            latencyMs,
                            outcome == Outcome.OK,
                            usedPercent,
                            0,
                            new double[0]));
            carryOut(client.gateway);
        }

        @Override
        public void left(double time, Client client) {
            FakeGateway module = runTo(client.gateway, time);
            module.brain.clientDisconnected(time, client.id);
            carryOut(client.gateway);
        }

        @Override
        public void beat(double time) {
            for (int i = 0; i < gateways; i++) {
                runTo(i, time);
                carryOut(i);
            }
        }

        private FakeGateway runTo(int gateway, double time) {
            FakeGateway module = modules.get(gateway);
            module.runTo(time);
            return module;
        }

        private void carryOut(int gateway) {
            FakeGateway module = modules.get(gateway);
            while (sent[gateway] < module.sent.size()) {
                FakeGateway.Sent next = module.sent.get(sent[gateway]++);
                send(out.get(next.id()), hostNumber(next.host()));
            }
            while (refused[gateway] < module.refused.size()) {
                int next = refused[gateway]++;
                refuse(out.get(module.refused.get(next)), module.retryAfter.get(next));
            }
            while (failed[gateway] < module.failed.size()) {
                fail(out.get(module.failed.get(failed[gateway]++)));
            }
            while (cancelled[gateway] < module.cancelled.size()) {
                Client client = out.get(module.cancelled.get(cancelled[gateway]++));
                if (client == null || client.host < 0) continue;
                double latencyMs = now - client.sentAt;
                cancel(client);
                end(client, Outcome.CANCELLED, latencyMs, 0);
            }
        }
    }
}
