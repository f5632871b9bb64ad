package caperrudder.scale;

import caperrudder.scale.SimulatedDiscovery.SimulatedHost;
import caperrudder.scale.SimulatedDiscovery.State;
import java.util.Comparator;
import java.util.List;

/**
 * One round of the measurement at one size: phases one after the other on a {@link SimulatedFleet} of its own. What one
 * event costs its loop is measured; the work of what is simulated round the gateways is not. Not thread-safe.
 */
final class FleetExperiment {
    private static final double TIMER_MS = 20; // of the policy; the gateways' starts are spread over it
    private static final double METRICS_MS = 100; // how often a real gateway renews its metrics
    private static final double SETTLE_MS = 2000;
    private static final double CHANGE_GAP_MS = 50;
    private static final double UNDETECTED_MS = 1000; // from a host's loss to discovery's update
    private static final double OUTAGE_SECONDS = 3; // for which a loss and a return are watched
    private static final double NEW_TENANT_SPEEDUP = 4; // first requests of tenants come so much faster than others

    private final FleetSize size;
    private final Progress progress;
    private final SimulatedFleet fleet;
    private final ClientLoad load;
    private final Measurements measurements;

    FleetExperiment(FleetSize size, Progress progress) {
        this.size = size;
        this.progress = progress;
        this.fleet = new SimulatedFleet(size);
        this.load = new ClientLoad(fleet, progress);
        this.measurements = new Measurements(size.hosts());
    }

    /** Runs all phases; takes seconds to minutes of the calling thread. */
    Measurements run() {
        HeapUsage heap = new HeapUsage();
        measureFullLists(heap);
        measureNewTenants(heap);
        measureRequests();
        measureIdle();
        measureChanges();
        measureOutage();
        heap.addPeakTo(measurements);
        return measurements;
    }

    private PhaseCosts begin(String phase) {
        progress.at(phase, 0, 1);
        return fleet.beginPhase();
    }

    private void measureFullLists(HeapUsage heap) {
        PhaseCosts costs = begin("full lists");
        byte[] text = fleet.discovery().fullList();
        long before = heap.liveBytes();
        for (int i = 0; i < size.gateways(); i++) {
            startGateway(i, text, costs);
        }
        fleet.clock().advance(TIMER_MS - 1);
        long started = heap.liveBytes();
        fleet.clock().advance(TIMER_MS + 1);
        long listed = heap.liveBytes();
        fleet.clock().advance(SimulatedFleet.MS_PER_SECOND); // metrics have been renewed, too
        measurements.count("list.text", text.length, "bytes");
        measurements.ms("list.read.cpu", costs.listReads().meanNanos());
        measurements.measured("list.read.allocated", costs.listReads().meanBytes(), "bytes");
        measurements.ms("list.cpu", costs.lists().meanNanos());
        measurements.measured("list.allocated", costs.lists().meanBytes(), "bytes");
        measurements.ms("list.longest.cpu", costs.lists().longestNanos());
        measurements.ms("list.longest.wall", costs.lists().longestWallNanos());
        measurements.measured("gateway.held.started", perGateway(started - before), "bytes");
        measurements.measured("gateway.held.listed", perGateway(listed - before), "bytes");
        measurements.measured("gateway.held.reckoned", perGateway(heap.liveBytes() - before), "bytes");
    }

    private double perGateway(long bytes) {
        return (double) bytes / size.gateways();
    }

    private void startGateway(int i, byte[] fullList, PhaseCosts costs) {
        int index = (int) ((long) i * size.fleet() / size.gateways());
        double delayMs = i * TIMER_MS / size.gateways(); // or all timers would fire together
        SimulatedGateway gateway = fleet.addGateway(index, delayMs);
        fleet.clock().schedule(delayMs + TIMER_MS, () -> {
            gateway.deliverList(costs, fleet.clock().nowMs(), fullList);
            fleet.clock().schedule(METRICS_MS, () -> renewMetrics(gateway));
            progress.at("full lists read", costs.lists().count(), size.gateways());
        });
    }

    private void renewMetrics(SimulatedGateway gateway) {
        fleet.clock().schedule(METRICS_MS, () -> renewMetrics(gateway));
        gateway.deliver(
                fleet.costs().healthSummaries(),
                policy -> policy.clusterHealth(fleet.clock().nowMs()));
    }

    /** Each gateway serves one request of each of its tenants. */
    private void measureNewTenants(HeapUsage heap) {
        long before = heap.liveBytes();
        PhaseCosts costs = begin("tenants");
        double gapMs = SimulatedFleet.MS_PER_SECOND / size.requestsPerSecond() / NEW_TENANT_SPEEDUP;
        long all = 0;
        int most = 0;
        for (SimulatedGateway gateway : fleet.gateways()) {
            int count = fleet.tenants().countAt(gateway.index());
            all += count;
            most = Math.max(most, count);
            load.requestOfEachTenant(gateway, gapMs);
        }
        fleet.clock().advance(most * gapMs + SETTLE_MS);
        measurements.count("tenants.of.gateways", all, "tenants");
        measurements.count("tenants.refused", costs.rejected(), "requests");
        measurements.measured("tenant.held", all == 0 ? 0 : (double) (heap.liveBytes() - before) / all, "bytes");
    }

    private void measureRequests() {
        PhaseCosts costs = begin("requests");
        double seconds = size.requests() / size.requestsPerSecond();
        load.requestsAtEachGateway(size.requests(), size.requestsPerSecond());
        fleet.clock().advance(seconds * SimulatedFleet.MS_PER_SECOND + SETTLE_MS);
        double gatewaySeconds = (seconds + SETTLE_MS / SimulatedFleet.MS_PER_SECOND) * size.gateways();
        measurements.count("requests", costs.requests().count(), "requests");
        measurements.count("requests.served", costs.served(), "requests");
        measurements.count("requests.refused", costs.rejected(), "requests");
        measurements.count("requests.failed", costs.failed(), "requests");
        measurements.count("requests.sends", costs.attempts(), "attempts");
        measurements.count("requests.hosts.met", costs.contactedHosts(), "hosts");
        measurements.us("request.cpu.mean", costs.requests().meanNanos());
        measurements.us("request.cpu.p50", costs.requests().nanosAt(50));
        measurements.us("request.cpu.p99", costs.requests().nanosAt(99));
        measurements.us("request.cpu.p99.9", costs.requests().nanosAt(99.9));
        measurements.measured("request.allocated", costs.requests().meanBytes(), "bytes");
        measurements.ms("load.second.cpu", costs.totalNanos() / gatewaySeconds);
        measurements.ms("load.longest.cpu", costs.longestNanos());
        measurements.ms("load.longest.wall", costs.longestWallNanos());
        addPeerMessages(costs, gatewaySeconds);
    }

    private void addPeerMessages(PhaseCosts costs, double gatewaySeconds) {
        measurements.count("peers.messages", costs.messagesSent(), "messages");
        measurements.count("peers.bytes", costs.messageBytes(), "bytes");
        measurements.count("peers.messages.gateway.second", costs.messagesSent() / gatewaySeconds, "messages");
        measurements.count("peers.bytes.gateway.second", costs.messageBytes() / gatewaySeconds, "bytes");
        measurements.count("peers.messages.most.heard", costs.mostMessagesReceived(), "messages");
        measurements.us("peers.message.cpu.mean", costs.peerMessages().meanNanos());
        measurements.us("peers.message.cpu.p99", costs.peerMessages().nanosAt(99));
        measurements.measured("peers.message.allocated", costs.peerMessages().meanBytes(), "bytes");
    }

    private void measureIdle() {
        PhaseCosts costs = begin("idle");
        long collectionMsBefore = HeapUsage.collectionMs();
        for (int second = 0; second < size.idleSeconds(); second++) {
            fleet.clock().advance(SimulatedFleet.MS_PER_SECOND);
            progress.at("idle seconds", second, size.idleSeconds());
        }
        double gatewaySeconds = (double) size.idleSeconds() * size.gateways();
        long collectionMs = HeapUsage.collectionMs() - collectionMsBefore;
        measurements.count("idle.beats", costs.timers().count() / gatewaySeconds, "beats a second");
        measurements.ms("idle.second.cpu", costs.totalNanos() / gatewaySeconds);
        measurements.ms("idle.second.beats.cpu", costs.timers().totalNanos() / gatewaySeconds);
        measurements.ms("idle.second.figures.cpu", costs.healthSummaries().totalNanos() / gatewaySeconds);
        measurements.ms("idle.beat.p99.cpu", costs.timers().nanosAt(99));
        measurements.measured("idle.second.allocated", costs.totalBytes() / gatewaySeconds, "bytes");
        measurements.measured("idle.second.collections", collectionMs / gatewaySeconds, "ms");
        measurements.ms("idle.longest.cpu", costs.longestNanos());
        measurements.ms("idle.longest.wall", costs.longestWallNanos());
        measurements.count("idle.messages", costs.messagesSent() / gatewaySeconds, "messages a second");
    }

    /** Hosts drain and come back by turns, each change in an update of its own. */
    private void measureChanges() {
        PhaseCosts costs = begin("changes");
        long bytes = 0;
        for (int i = 0; i < size.changes(); i++) {
            SimulatedHost host = fleet.discovery().hosts().get(fleet.random().nextInt(size.hosts()));
            fleet.discovery().change(host, host.state() == State.READY ? State.DRAINING : State.READY, 0);
            byte[] text = fleet.discovery().changes(List.of(host));
            bytes += text.length;
            fleet.deliverListToAll(text);
            fleet.clock().advance(CHANGE_GAP_MS);
            progress.at("changes", i, size.changes());
        }
        measurements.count("change.text", size.changes() == 0 ? 0 : (double) bytes / size.changes(), "bytes");
        measurements.ms("change.cpu.mean", costs.lists().meanNanos());
        measurements.ms("change.cpu.p99", costs.lists().nanosAt(99));
        measurements.ms("change.longest.wall", costs.lists().longestWallNanos());
        measurements.measured("change.allocated", costs.lists().meanBytes(), "bytes");
    }

    /** A zone's hosts fall silent while requests run, are reported as gone, and come back warming up. */
    private void measureOutage() {
        List<SimulatedHost> lost = fleet.discovery().hosts().stream()
                .sorted(Comparator.comparing(SimulatedHost::zone))
                .limit(size.atOnce())
                .toList();
        if (lost.isEmpty()) {
            return;
        }
        int requestsEach = (int) Math.min(size.requests(), OUTAGE_SECONDS * size.requestsPerSecond());
        PhaseCosts lossCosts = begin("loss");
        load.requestsAtEachGateway(requestsEach, size.requestsPerSecond());
        lost.forEach(host -> host.setSilent(true));
        fleet.clock().advance(UNDETECTED_MS);
        lost.forEach(host -> fleet.discovery().change(host, State.GONE, 0));
        measureLargeUpdate("loss", lost, lossCosts);

        PhaseCosts returnCosts = begin("return");
        lost.forEach(host -> host.setSilent(false));
        load.requestsAtEachGateway(requestsEach, size.requestsPerSecond());
        long startedAtMs = (long) fleet.clock().nowMs();
        lost.forEach(host -> fleet.discovery().change(host, State.READY, startedAtMs));
        measureLargeUpdate("return", lost, returnCosts);
        measurements.count("return.sends.cold", returnCosts.attemptsToRestarted(), "attempts");
    }

    private void measureLargeUpdate(String name, List<SimulatedHost> changed, PhaseCosts costs) {
        byte[] text = fleet.discovery().changes(changed);
        fleet.deliverListToAll(text);
        fleet.clock().advance(OUTAGE_SECONDS * SimulatedFleet.MS_PER_SECOND + SimulatedFleet.DEADLINE_MS);
        measurements.count(name + ".text", text.length, "bytes");
        measurements.ms(name + ".told.cpu.mean", costs.lists().meanNanos());
        measurements.ms(name + ".told.longest.wall", costs.lists().longestWallNanos());
        measurements.measured(name + ".told.allocated", costs.lists().meanBytes(), "bytes");
        measurements.count(name + ".served", costs.served(), "requests");
        measurements.count(name + ".refused", costs.rejected(), "requests");
        measurements.count(name + ".failed", costs.failed(), "requests");
        measurements.count(name + ".sends", costs.attempts(), "attempts");
    }
}
