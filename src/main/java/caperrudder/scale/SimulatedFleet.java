package caperrudder.scale;

import caperrudder.api.AttemptResult;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyActions;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.scale.SimulatedDiscovery.SimulatedHost;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Gateways, hosts, discovery and tenants on one simulated clock. The hosts' answers, the messages' ways and all that is
 * drawn come from the seed, so that fleets of one size and seed make the same decisions. Not thread-safe.
 */
final class SimulatedFleet {
    static final double DEADLINE_MS = 3000;
    static final double MS_PER_SECOND = 1000;
    private static final double START_MS = 1.8e12; // Unix time, from which gateways number their incarnations
    private static final double PEER_DELAY_MS = 1; // of a message between gateways
    private static final double RESPONSE_MS = 20; // the mean of the hosts, of which each response takes half at least
    private static final int HOST_CORES = 8; // for load reports
    private static final long SEED_FACTOR = 1_000_003; // keeps the gateways' seeds apart

    private final FleetSize size;
    private final SimulatedClock clock = new SimulatedClock(START_MS);
    private final SimulatedDiscovery discovery;
    private final Tenants tenants;
    private final Random random;
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final Map<Integer, SimulatedGateway> gatewaysByIndex = new HashMap<>();
    private final Map<String, SimulatedRequest> requests = new HashMap<>();
    private PhaseCosts costs = new PhaseCosts();
    private long requestCount;

    SimulatedFleet(FleetSize size) {
        this.size = size;
        this.random = new Random(size.seed());
        this.discovery = new SimulatedDiscovery(size.hosts(), size.seed(), SimulatedFleet::address);
        this.tenants = new Tenants(
                size.tenants(), size.fleet(), size.spread(), settings(0).plans());
    }

    private static String address(int number) {
        return "10." + (number >> 16) + '.' + (number >> 8 & 255) + '.' + (number & 255) + ":5000";
    }

    private Settings settings(int index) {
        return FleetSettings.of(
                index,
                size.fleet(),
                SimulatedDiscovery.zoneName(index % SimulatedDiscovery.ZONES),
                size.sharing(),
                size.seed() * SEED_FACTOR + index);
    }

    SimulatedClock clock() {
        return clock;
    }

    SimulatedDiscovery discovery() {
        return discovery;
    }

    Tenants tenants() {
        return tenants;
    }

    Random random() {
        return random;
    }

    List<SimulatedGateway> gateways() {
        return gateways;
    }

    /** The costs of the phase that runs now. */
    PhaseCosts costs() {
        return costs;
    }

    /** Begins to count anew. */
    PhaseCosts beginPhase() {
        costs = new PhaseCosts();
        return costs;
    }

    /** Adds a gateway, which starts after the delay. */
    SimulatedGateway addGateway(int index, double startDelayMs) {
        Settings settings = settings(index);
        Environment environment = new Environment();
        SimulatedGateway gateway = new SimulatedGateway(settings, environment);
        environment.gateway = gateway;
        gateways.add(gateway);
        gatewaysByIndex.put(index, gateway);
        clock.schedule(
                startDelayMs, () -> gateway.deliver(costs.starts(), policy -> policy.start(clock.nowMs(), settings)));
        return gateway;
    }

    /** Sends an answer of discovery to all gateways. */
    void deliverListToAll(byte[] text) {
        for (SimulatedGateway gateway : gateways) {
            gateway.deliverList(costs, clock.nowMs(), text);
        }
    }

    /** A tenant's request of one unit comes to a gateway now. */
    void sendRequest(SimulatedGateway gateway, int tenant) {
        double nowMs = clock.nowMs();
        String id = "q" + requestCount++;
        Request request = new Request(
                id,
                nowMs + DEADLINE_MS,
                nowMs,
                false,
                FleetSettings.className(requestCount),
                Tenants.id(tenant),
                tenants.plan(tenant).name(),
                1,
                tenants.firstReplica(tenant),
                tenants.spread());
        SimulatedRequest open = new SimulatedRequest(id, gateway, tenant, nowMs + DEADLINE_MS);
        requests.put(id, open);
        gateway.deliver(costs.arrivals(), policy -> policy.requestReceived(nowMs, request));
        open.addLastEvent();
        forgetIfOver(open);
    }

    private void forgetIfOver(SimulatedRequest request) {
        if (request.isOver() && requests.remove(request.id(), request)) {
            costs.requests().add(request.nanos(), request.bytes(), 0);
        }
    }

    private void closeUnserved(String id, Runnable count) {
        SimulatedRequest request = requests.get(id);
        if (request != null && request.close()) {
            count.run();
            clock.schedule(0, () -> forgetIfOver(request)); // once the event that decided it has been added
        }
    }

    /** A response comes after a time of its own; a silent host lets the connect time out. */
    private void sendAttempt(SimulatedGateway gateway, String id, String hostId) {
        SimulatedRequest request = requests.get(id);
        SimulatedHost host = discovery.host(hostId);
        double sentAtMs = clock.nowMs();
        int attempt = request.beginAttempt();
        if (host.isSilent()) {
            costs.attemptSent(hostId, false);
            clock.schedule(
                    FleetSettings.CONNECT_TIMEOUT_MS,
                    () -> endAttempt(gateway, id, attempt, hostId, Outcome.CONNECT_FAILED, sentAtMs));
            return;
        }
        costs.attemptSent(hostId, host.startedAtMs() > 0);
        host.beginWork();
        tenants.use(request.tenant(), 1, sentAtMs);
        clock.schedule(responseTimeMs(), () -> {
            host.endWork();
            if (host.isSilent()) { // vanished with its work: nothing comes before the request's time is up
                clock.schedule(
                        request.deadlineAtMs() - clock.nowMs(),
                        () -> endAttempt(gateway, id, attempt, hostId, Outcome.TIMEOUT, sentAtMs));
            } else {
                endAttempt(gateway, id, attempt, hostId, Outcome.OK, sentAtMs);
            }
        });
    }

    /** Half the mean, and an exponential distribution on top. */
    private double responseTimeMs() {
        return RESPONSE_MS * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
    }

    private void endAttempt(
            SimulatedGateway gateway, String id, int attempt, String host, Outcome outcome, double sentAtMs) {
        SimulatedRequest request = requests.get(id);
        if (request == null || !request.endAttempt(attempt)) {
            return;
        }
        boolean responded = outcome == Outcome.OK;
        if (responded && request.close()) {
            costs.requestServed();
        }
        double[] loadReport = responded ? loadReport(discovery.host(host)) : new double[0];
        int quotaUsedPercentPlusOne = responded ? tenants.quotaUsedPercentPlusOne(request.tenant(), clock.nowMs()) : 0;
        double latencyMs = clock.nowMs() - sentAtMs;
        AttemptResult result = new AttemptResult(
                id, attempt, host, outcome, latencyMs, request.isClosed(), quotaUsedPercentPlusOne, 0, loadReport);
        gateway.deliver(costs.responses(), policy -> policy.attemptEnded(clock.nowMs(), result));
        request.addLastEvent();
        forgetIfOver(request);
    }

    /** In the order of {@code telemetry.names}: requests in flight, those that wait for a core, utilization. */
    private static double[] loadReport(SimulatedHost host) {
        int inFlight = host.inFlight();
        return new double[] {inFlight, Math.max(0, inFlight - HOST_CORES), Math.min(1, (double) inFlight / HOST_CORES)};
    }

    /** Carries out the actions of one gateway. */
    private final class Environment implements PolicyActions {
        private SimulatedGateway gateway;

        @Override
        public void sendAttempt(String id, String host, double timeoutMs) {
            SimulatedFleet.this.sendAttempt(gateway, id, host);
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            clock.schedule(0, () -> endAttempt(gateway, id, attempt, null, Outcome.CANCELLED, clock.nowMs()));
        }

        @Override
        public void reject(String id, double retryAfterMs) {
            closeUnserved(id, costs::requestRejected);
        }

        @Override
        public void fail(String id) {
            closeUnserved(id, costs::requestFailed);
        }

        @Override
        public void startTimer(double delayMs, String token) {
            clock.schedule(
                    delayMs, () -> gateway.deliver(costs.timers(), policy -> policy.timerFired(clock.nowMs(), token)));
        }

        @Override
        public void startHealthCheck(String host) {
            throw new IllegalStateException("the settings allow no health checks");
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            costs.messageSent(peer, data.length);
            SimulatedGateway receiver = gatewaysByIndex.get(peer);
            if (receiver != null) {
                int sender = gateway.index();
                clock.schedule(
                        PEER_DELAY_MS,
                        () -> receiver.deliver(
                                costs.peerMessages(),
                                policy -> policy.peerMessageReceived(clock.nowMs(), sender, data)));
            }
        }

        @Override
        public void addToCounter(String counter, double amount, double lifetimeMs) {
            throw new IllegalStateException("the settings allow no counter");
        }

        @Override
        public void subscribeToHosts() {
            throw new IllegalStateException("discovery sends its lists unasked");
        }
    }
}
