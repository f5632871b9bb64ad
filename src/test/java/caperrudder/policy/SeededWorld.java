package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Everything around the policies of some gateways on one simulated clock: clients, endpoints, the service discovery,
 * the meter and the network between the gateways. All chance comes from one seed, so a world goes the same way as
 * long as the policies decide the same. It touches a policy only by its events, its actions and its constructor.
 */
final class SeededWorld {
    private static final double START_MS = 1_000_000.25;
    private static final double STAGGER_MS = 1.7; // between the starts of gateways
    private static final double NETWORK_MS = 1.5; // to an endpoint and back
    private static final double DISCOVERY_MS = 2; // until a gateway that asks has the list of hosts
    private static final double WORK_MS = 40; // of one unit on the mean
    private static final int CORES = 2; // of an endpoint
    private static final int CELL_HOSTS = 6; // hosts of a cell
    private static final double UPLOAD_MS = 600; // at most, from the first byte of a request to its last
    private static final double UPLOAD_DEADLINE_MS = 10_000; // of a request that is still arriving
    private static final double SPENT_MS = 80; // at most, until a part of a body has left for good
    private static final double STREAM_MS = 800; // at most, from the first byte of a response to its last
    private static final double LEAVING_MS = 400; // at most, until an impatient client leaves
    private static final int UNKNOWN_EVERY = 300; // one request in so many names no known class, one no known plan
    private static final int COMEBACKS = 3; // retries of a refused client
    private static final double[] NO_REPORT = new double[0];

    /** The requests of a phase; the last three are shares of them. */
    record Traffic(
            double perSecond, int customers, List<Plan> plans, double slowUploads, double leaving, double comingBack) {}

    /** Shares of attempts that meet a fault of the network or of the endpoint. */
    record Faults(double connect, double moot, double full, double hang, double reset, double error, double spoilt) {
        static final Faults NONE = new Faults(0, 0, 0, 0, 0, 0, 0);
    }

    /** How messages between gateways travel; the last three are shares of them. */
    record PeerNetwork(double leastMs, double mostMs, double lost, double duplicated, double damaged) {
        static final PeerNetwork GOOD = new PeerNetwork(1, 3, 0, 0, 0);
    }

    private record Event(double at, long order, Runnable what) {}

    /** One process of a gateway: its policy, what that does, and how the world carries it out. */
    final class GatewayProcess implements PolicyActions {
        final int number;
        final PolicyEvents policy;
        final ActionRecorder actions;
        private double stalledTill;

        GatewayProcess(int number) {
            this.number = number;
            this.actions = new ActionRecorder(() -> now, this);
            this.policy = new TrafficPolicy(actions);
        }

        /** The policy meets an event, once its event loop doesn't stall. */
        void meet(Consumer<PolicyEvents> event) {
            if (now < stalledTill) at(stalledTill, () -> meet(event));
            else event.accept(policy);
        }

        void stall(double ms) {
            stalledTill = now + ms;
        }

        @Override
        public void sendAttempt(String id, String host, double timeoutMs) {
            startAttempt(calls.get(id), endpoints.get(host));
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            Attempt cancelled = calls.get(id).attempts.get(attempt);
            at(now + NETWORK_MS, () -> end(cancelled, Outcome.CANCELLED));
        }

        @Override
        public void reject(String id, double retryAfterMs) {
            Call call = calls.get(id);
            call.answered = true;
            if (retryAfterMs <= 0 || call.comebacks >= COMEBACKS || !occurs(call.traffic.comingBack())) return;
            retryAfters++;
            at(now + retryAfterMs, () -> comeBack(call));
        }

        @Override
        public void fail(String id) {
            calls.get(id).answered = true;
        }

        @Override
        public void startTimer(double delayMs, String token) {
            at(now + delayMs, () -> meet(p -> p.timerFired(now, token)));
        }

        @Override
        public void startHealthCheck(String host) {
            at(now + NETWORK_MS, () -> meet(p -> p.healthCheckEnded(now, host, Outcome.OK, NETWORK_MS, NO_REPORT)));
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            if (occurs(peerNetwork.lost())) {
                messagesLost++;
                return;
            }
            deliver(number, peer, data);
            if (!occurs(peerNetwork.duplicated())) return;
            messagesDuplicated++;
            deliver(number, peer, data);
        }

        @Override
        public void addToCounter(String counter, double amount, double lifetimeMs) {
            at(now + NETWORK_MS, () -> meet(p -> p.counterCallEnded(now, counter, Outcome.OK, amount)));
        }

        @Override
        public void subscribeToHosts() {
            boolean fails = failingLists > 0;
            failingLists -= fails ? 1 : 0;
            HostListKind kind = fails ? HostListKind.FAILED : HostListKind.FULL;
            at(now + DISCOVERY_MS, () -> meet(p -> p.hostsUpdated(now, kind, fails ? List.of() : listed())));
        }
    }

    /** A request of a client. */
    private static final class Call {
        final GatewayProcess process;
        final Request request;
        final Traffic traffic;
        final List<Attempt> attempts = new ArrayList<>();
        boolean streams;
        boolean arriving;
        double deadlineAtMs;
        boolean answered; // or its client has left
        int comebacks;

        Call(GatewayProcess process, Request request, Traffic traffic) {
            this.process = process;
            this.request = request;
            this.traffic = traffic;
            this.arriving = request.bodyPending();
            this.deadlineAtMs = request.deadlineAtMs();
        }
    }

    /** A request on its way to an endpoint, there, or on its way back. */
    private static final class Attempt {
        final Call call;
        final int number;
        final SimulatedEndpoint endpoint;
        final double endpointStartedAtMs;
        double sentMs;
        boolean out = true;
        boolean held; // by its endpoint
        boolean streaming;

        Attempt(Call call, SimulatedEndpoint endpoint, double now) {
            this.call = call;
            this.number = call.attempts.size();
            this.endpoint = endpoint;
            this.endpointStartedAtMs = endpoint.startedAtMs;
            this.sentMs = now;
        }
    }

    /** What the meter knows of a customer, over all gateways. */
    private static final class Meter {
        double units; // of this period
        double lastUnits; // of the period before
        int open;
        int peak;
        int lastPeak;
    }

    private final WorldSettings settings;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<GatewayProcess> processes = new ArrayList<>();
    private final GatewayProcess[] serving; // of each gateway: the process that takes requests and messages
    private final Map<String, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Long, Meter> meters = new HashMap<>();
    private long order;
    private long asked;
    private double now = START_MS;

    Faults faults = Faults.NONE;
    PeerNetwork peerNetwork = PeerNetwork.GOOD;
    int failingLists; // calls for the list of hosts that fail, from now on

    // What happened, for a test to see that the world exercised its subject
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    int sendsToWarmingUp;
    int retries;
    int retryAfters;
    int clientsLeft;
    int requestsSpent;
    int uploadsCompleted;
    int streamsStarted;
    int streamsBroken;
    int streamsLeft;
    int messagesLost;
    int messagesDuplicated;
    int messagesDamaged;

    SeededWorld(WorldSettings settings, int hosts) {
        this.settings = settings;
        random = new Random(settings.seed());
        serving = new GatewayProcess[settings.gateways()];
        for (int i = 0; i < hosts; i++) addEndpoint();
        for (int i = 0; i < serving.length; i++) {
            GatewayProcess process = begin(i);
            serve(process);
        }
        if (settings.coordination().meterPeriodMs() > 0) readMeters();
    }

    /** Starts a further process of this gateway, which doesn't serve yet. */
    GatewayProcess begin(int gateway) {
        GatewayProcess process = new GatewayProcess(gateway);
        int index = processes.size();
        processes.add(process);
        at(now + STAGGER_MS * gateway % 20, () -> process.meet(p -> p.start(now, settings.of(gateway, index))));
        return process;
    }

    /** The requests and messages for its gateway are for this process from now on. */
    void serve(GatewayProcess process) {
        serving[process.number] = process;
    }

    GatewayProcess serving(int gateway) {
        return serving[gateway];
    }

    List<GatewayProcess> processes() {
        return processes;
    }

    double now() {
        return now;
    }

    int outcomes(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** How often all processes together took this action. */
    int actions(String action) {
        return processes.stream().mapToInt(p -> p.actions.count(action)).sum();
    }

    /** The digest of all actions of these processes, in order. */
    String digest(String name, List<GatewayProcess> some) {
        List<String> lines = new ArrayList<>();
        for (GatewayProcess process : some) {
            lines.add("process " + processes.indexOf(process) + " of gateway " + process.number);
            lines.addAll(process.actions.lines());
        }
        ActionRecorder.keep(name, lines);
        return ActionRecorder.digest(lines);
    }

    // ---- time

    private void at(double when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    /** Lets so much time pass without new requests. */
    void run(double ms) {
        double end = now + ms;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.what().run();
        }
        now = end;
    }

    /** Lets so much time pass with requests that arrive as a Poisson process. */
    void play(Traffic traffic, double ms) {
        arriveBefore(now + ms, traffic);
        run(ms);
    }

    private void arriveBefore(double end, Traffic traffic) {
        double when = now + exponential() * 1000 / traffic.perSecond();
        if (when >= end) return;
        at(when, () -> {
            arrive(traffic);
            arriveBefore(end, traffic);
        });
    }

    private double exponential() {
        return -StrictMath.log(1 - random.nextDouble());
    }

    // ---- endpoints

    SimulatedEndpoint addEndpoint() {
        int number = endpoints.size();
        SimulatedEndpoint endpoint =
                new SimulatedEndpoint("host-" + number, WorldSettings.zone(number), number / CELL_HOSTS, CORES);
        endpoints.put(endpoint.id, endpoint);
        return endpoint;
    }

    List<SimulatedEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /** It starts cold. */
    void restart(SimulatedEndpoint endpoint) {
        endpoint.start(
                now,
                settings.rules().slowStartInitialCapacityShare(),
                settings.rules().slowStartMs());
    }

    private List<Host> listed() {
        return endpoints.values().stream()
                .filter(e -> e.state != HostState.GONE)
                .map(SimulatedEndpoint::listed)
                .toList();
    }

    /** Tells all gateways of these endpoints as they are now. */
    void publish(List<SimulatedEndpoint> changed) {
        List<Host> hosts = changed.stream().map(SimulatedEndpoint::listed).toList();
        for (GatewayProcess process : processes) {
            at(
                    now + DISCOVERY_MS + process.number % 7,
                    () -> process.meet(p -> p.hostsUpdated(now, HostListKind.CHANGES, hosts)));
        }
    }

    /** Tells all gateways the whole list. */
    void publishAll(HostListKind kind) {
        List<Host> hosts = listed();
        for (GatewayProcess process : processes) {
            at(now + DISCOVERY_MS, () -> process.meet(p -> p.hostsUpdated(now, kind, hosts)));
        }
    }

    // ---- clients

    private void arrive(Traffic traffic) {
        long customer = (long) (traffic.customers() * random.nextDouble() * random.nextDouble());
        int gateways = serving.length;
        int first = (int) (customer * 7 % gateways);
        int spread = 1 + (int) (customer % gateways);
        int gateway = (first + random.nextInt(spread)) % gateways;
        RequestClass requestClass = WorldSettings.CLASSES.get(random.nextInt(WorldSettings.CLASSES.size()));
        Plan plan = traffic.plans().get((int) (customer % traffic.plans().size()));
        boolean arriving = !requestClass.streaming() && occurs(traffic.slowUploads());
        int unknown = random.nextInt(UNKNOWN_EVERY);
        Request request = new Request(
                "r" + asked++,
                now + (arriving ? UPLOAD_DEADLINE_MS : requestClass.clientTimeoutMs()),
                now,
                false,
                unknown == 0 ? "unknown" : requestClass.name(),
                customer,
                unknown == 1 ? "unknown" : plan.name(),
                (1 + random.nextInt(8)) / 4.0,
                first,
                spread,
                arriving);
        submit(new Call(serving[gateway], request, traffic), requestClass);
    }

    private void submit(Call call, RequestClass requestClass) {
        calls.put(call.request.id(), call);
        call.streams = requestClass.streaming();
        call.process.meet(p -> p.requestReceived(now, call.request));
        if (call.arriving) {
            at(now + random.nextDouble() * UPLOAD_MS, () -> complete(call, requestClass));
        }
        if (occurs(call.traffic.leaving())) {
            at(now + random.nextDouble() * LEAVING_MS, () -> leave(call));
        }
    }

    /** The last byte of a slow upload has come. */
    private void complete(Call call, RequestClass requestClass) {
        if (call.answered) return;
        uploadsCompleted++;
        call.process.meet(p -> {
            call.arriving = false;
            call.deadlineAtMs = now + requestClass.clientTimeoutMs();
            p.requestBodyCompleted(now, call.request.id(), call.deadlineAtMs);
            call.attempts.stream().filter(a -> a.out).toList().forEach(this::reach);
        });
    }

    private void leave(Call call) {
        if (call.answered && call.attempts.stream().noneMatch(a -> a.out && a.streaming)) return;
        call.answered = true;
        clientsLeft++;
        call.process.meet(p -> p.clientDisconnected(now, call.request.id()));
        for (Attempt attempt : call.attempts) {
            if (!attempt.streaming || !attempt.out) continue;
            streamsLeft++;
            at(now + NETWORK_MS, () -> end(attempt, Outcome.CANCELLED));
        }
    }

    /** A refused client tries again when it was told to, at the same gateway, and marks its request as a retry. */
    private void comeBack(Call refused) {
        Request last = refused.request;
        RequestClass requestClass = WorldSettings.CLASSES.stream()
                .filter(c -> c.name().equals(last.requestClass()))
                .findFirst()
                .orElse(WorldSettings.LOOKUP);
        Request request = new Request(
                "r" + asked++,
                now + requestClass.clientTimeoutMs(),
                now,
                true,
                last.requestClass(),
                last.customer(),
                last.plan(),
                last.units(),
                last.firstReplica(),
                last.replicaCount());
        Call call = new Call(serving[refused.process.number], request, refused.traffic);
        call.comebacks = refused.comebacks + 1;
        submit(call, requestClass);
    }

    // ---- attempts

    private void startAttempt(Call call, SimulatedEndpoint endpoint) {
        Attempt attempt = new Attempt(call, endpoint, now);
        call.attempts.add(attempt);
        Meter meter = meters.computeIfAbsent(call.request.customer(), c -> new Meter());
        meter.open++;
        meter.peak = Math.max(meter.peak, meter.open);
        if (attempt.number == 0) meter.units += call.request.units();
        else retries++;
        if (endpoint.warmsUp(now)) sendsToWarmingUp++;
        if (!call.arriving) {
            reach(attempt);
        } else if (!endpoint.up) {
            endAt(now + NETWORK_MS, attempt, Outcome.CONNECT_FAILED);
        } else if (random.nextBoolean()) {
            at(now + random.nextDouble() * SPENT_MS, () -> spend(attempt));
        }
    }

    /** A part of its request is kept nowhere any more. */
    private void spend(Attempt attempt) {
        if (!attempt.out || !attempt.call.arriving || attempt.call.answered) return;
        requestsSpent++;
        attempt.call.process.meet(p -> p.requestNotReplayable(now, attempt.call.request.id()));
        if (occurs(faults.reset())) endAt(now + NETWORK_MS, attempt, Outcome.RESET);
    }

    /** A whole request comes to its endpoint, or fails on the way. */
    private void reach(Attempt attempt) {
        attempt.sentMs = now;
        if (!attempt.endpoint.up) {
            endAt(now + NETWORK_MS, attempt, Outcome.CONNECT_FAILED);
        } else if (occurs(faults.connect())) {
            endAt(now + settings.limits().connectTimeoutMs(), attempt, Outcome.CONNECT_FAILED);
        } else if (occurs(faults.moot())) {
            endAt(now + NETWORK_MS, attempt, Outcome.NOT_SENT);
        } else if (attempt.endpoint.isFull() || occurs(faults.full())) {
            endAt(now + NETWORK_MS, attempt, Outcome.REJECTED);
        } else {
            attempt.held = true;
            attempt.endpoint.held++;
            handle(attempt);
        }
    }

    private void handle(Attempt attempt) {
        Call call = attempt.call;
        SimulatedEndpoint endpoint = attempt.endpoint;
        boolean fails = endpoint.failingClasses.contains(call.request.requestClass());
        if (endpoint.hangs || occurs(faults.hang())) {
            endAt(call.deadlineAtMs, attempt, Outcome.TIMEOUT);
        } else if (occurs(faults.reset())) {
            endAt(now + random.nextDouble() * WORK_MS, attempt, Outcome.RESET);
        } else if (fails || occurs(faults.error())) {
            endAt(now + 2 * NETWORK_MS, attempt, Outcome.ERROR);
        } else {
            respond(attempt, NETWORK_MS + endpoint.serve(now, WORK_MS * call.request.units() * exponential()));
        }
    }

    private void respond(Attempt attempt, double when) {
        Call call = attempt.call;
        Outcome outcome = occurs(faults.spoilt()) ? Outcome.MALFORMED : Outcome.OK;
        if (when > call.deadlineAtMs) {
            endAt(call.deadlineAtMs, attempt, Outcome.TIMEOUT);
        } else if (call.streams && outcome == Outcome.OK) {
            at(when, () -> stream(attempt));
        } else {
            at(when, () -> end(attempt, stillThere(attempt) ? outcome : Outcome.RESET));
        }
    }

    private boolean occurs(double share) {
        return random.nextDouble() < share;
    }

    private static boolean stillThere(Attempt attempt) {
        return attempt.endpoint.up && attempt.endpoint.startedAtMs == attempt.endpointStartedAtMs;
    }

    /** The first bytes of a response that streams go to the client. */
    private void stream(Attempt attempt) {
        if (!attempt.out) return;
        if (!stillThere(attempt)) {
            end(attempt, Outcome.RESET);
            return;
        }
        attempt.streaming = true;
        attempt.call.answered = true;
        streamsStarted++;
        attempt.call.process.meet(p -> p.responseStarted(now, attempt.call.request.id(), attempt.number));
        boolean breaks = occurs(faults.reset());
        at(now + random.nextDouble() * STREAM_MS, () -> {
            boolean whole = !breaks && stillThere(attempt);
            if (attempt.out && !whole) streamsBroken++;
            end(attempt, whole ? Outcome.OK : Outcome.RESET);
        });
    }

    private void endAt(double when, Attempt attempt, Outcome outcome) {
        at(when, () -> end(attempt, outcome));
    }

    private void end(Attempt attempt, Outcome outcome) {
        if (!attempt.out) return;
        attempt.out = false;
        if (attempt.held) attempt.endpoint.held--;
        outcomes.merge(outcome, 1, Integer::sum);
        Call call = attempt.call;
        Request request = call.request;
        Meter meter = meters.get(request.customer());
        meter.open--;
        call.answered |= outcome == Outcome.OK;
        boolean closed = call.answered;
        boolean responded = outcome == Outcome.OK || outcome == Outcome.ERROR;
        double tookMs = now - attempt.sentMs;
        int usedPct = responded && settings.coordination().meterPeriodMs() > 0 ? usedPct(meter, request) : 0;
        double actualUnits =
                responded && settings.coordination().postPaid() ? request.units() * (0.5 + random.nextDouble()) : 0;
        SimulatedEndpoint endpoint = attempt.endpoint;
        double[] report = responded || outcome == Outcome.REJECTED
                ? new double[] {Math.min(1, (double) endpoint.held / endpoint.cores()), endpoint.held}
                : NO_REPORT;
        call.process.meet(p -> p.attemptEnded(
                now,
                new AttemptResult(
                        request.id(),
                        attempt.number,
                        endpoint.id,
                        outcome,
                        tookMs,
                        closed,
                        usedPct,
                        actualUnits,
                        report)));
    }

    // ---- what gateways learn of each other

    private void readMeters() {
        at(now + settings.coordination().meterPeriodMs(), () -> {
            for (Meter meter : meters.values()) {
                meter.lastUnits = meter.units;
                meter.units = 0;
                meter.lastPeak = meter.peak;
                meter.peak = meter.open;
            }
            readMeters();
        });
    }

    /** What a customer used of its quota in the last whole period, in percent, and one more. */
    private int usedPct(Meter meter, Request request) {
        Plan plan = WorldSettings.PLANS.stream()
                .filter(p -> p.name().equals(request.plan()))
                .findFirst()
                .orElse(WorldSettings.FREE);
        double limit = plan.unitsPerSecond() > 0
                ? plan.unitsPerSecond() * settings.coordination().meterPeriodMs() / 1000
                : plan.concurrencyLimit();
        return 1 + (int) Math.round(100 * (plan.unitsPerSecond() > 0 ? meter.lastUnits : meter.lastPeak) / limit);
    }

    private void deliver(int from, int to, byte[] data) {
        byte[] arriving = data.clone();
        if (occurs(peerNetwork.damaged())) {
            messagesDamaged++;
            arriving[random.nextInt(arriving.length)] ^= 0x20;
        }
        double delay = peerNetwork.leastMs() + (peerNetwork.mostMs() - peerNetwork.leastMs()) * random.nextDouble();
        at(now + delay, () -> serving[to].meet(p -> p.peerMessageReceived(now, from, arriving)));
    }
}
