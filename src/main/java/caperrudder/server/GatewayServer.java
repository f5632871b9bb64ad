package caperrudder.server;

import caperrudder.api.ClusterHealth;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.PolicyLoad;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.Settings;
import caperrudder.policy.TrafficPolicy;
import caperrudder.server.admin.MetricsSnapshot;
import caperrudder.server.admin.RequestCounters;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.config.ResourceLimits;
import caperrudder.server.discovery.DiscoveryClient;
import caperrudder.server.discovery.DiscoveryTimings;
import caperrudder.server.discovery.EndpointList;
import caperrudder.server.discovery.EndpointListener;
import caperrudder.server.downstream.DownstreamServer;
import caperrudder.server.handover.SnapshotExchange;
import caperrudder.server.http.HeadMemory;
import caperrudder.server.runtime.BufferBudget;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.DescriptorBudget;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.EventLoopLag;
import caperrudder.server.runtime.Log;
import caperrudder.server.runtime.ProtectionCounters;
import caperrudder.server.runtime.Transport;
import caperrudder.server.upstream.HealthChecker;
import caperrudder.server.upstream.LoadReportParser;
import caperrudder.server.upstream.UpstreamClient;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One gateway: wires its parts together on the event loop on which everything runs, and starts them. What becomes of
 * requests is the business of {@link RequestDispatcher}, the end that of {@link DrainController}.
 *
 * <p>Methods that say so may be called by any thread; all others belong to the event loop.
 */
public final class GatewayServer implements SnapshotExchange, EndpointListener, DrainController.Target {
    private static final Log LOG = Log.of("gateway");
    private static final long FIRST_LIST_MS = 500; // an agent on this machine has answered by then
    private static final long METRICS_PERIOD_MS = 100; // how often the admin address gets new metrics

    private final Settings settings;
    private final EventLoopContext eventLoop;
    private final DescriptorBudget exclusiveDescriptors;
    private final DescriptorBudget sharedDescriptors;
    private final PolicyEventQueue policy;
    private final RequestDispatcher dispatcher;
    private final DownstreamServer downstream;
    private final UpstreamClient upstream;
    private final DiscoveryClient discovery;
    private final PeerTransport peers;
    private final DrainController drain;
    private final RequestCounters counters;
    private final HeadMemory headMemory = new HeadMemory(Runtime.getRuntime().maxMemory());
    private PeerSender peerSender;
    private Optional<EndpointList> knownEndpoints; // until the policy has been notified
    private boolean policyStarted; // before, messages of peers are dropped
    private boolean besideAnother; // another process of this gateway runs, within the same limits
    private volatile MetricsSnapshot metrics;
    private volatile boolean listening;

    /** A gateway over TCP that does nothing yet; by any thread. */
    public GatewayServer(GatewayConfig config, Optional<EndpointList> knownEndpoints) {
        this(config, knownEndpoints, TrafficPolicy::new);
    }

    /** With a policy of the caller's making. */
    public GatewayServer(
            GatewayConfig config,
            Optional<EndpointList> knownEndpoints,
            Function<PolicyActions, PolicyEvents> policyFactory) {
        this(config, knownEndpoints, policyFactory, Transport.TCP, new NioEventLoopGroup(1));
    }

    /** On the first event loop of {@code group}. */
    public GatewayServer(
            GatewayConfig config,
            Optional<EndpointList> knownEndpoints,
            Function<PolicyActions, PolicyEvents> policyFactory,
            Transport transport,
            NioEventLoopGroup group) {
        this.settings = config.settings();
        this.knownEndpoints = knownEndpoints;
        ResourceLimits limits = config.limits();
        this.eventLoop = eventLoopContext(limits, transport, group);
        this.exclusiveDescriptors = DescriptorBudget.exclusive(limits.sockets());
        this.sharedDescriptors = DescriptorBudget.shared(limits.sockets());
        this.counters = new RequestCounters(settings.classes());
        this.metrics = new MetricsSnapshot(
                counters.classes(),
                0,
                0,
                new ClusterHealth(0, 0),
                PolicyLoad.NONE,
                0,
                0,
                eventLoop.protections().counts());
        this.policy = new PolicyEventQueue(eventLoop.clock());
        LoadReportParser loadReports = new LoadReportParser(settings.loadReportFields());
        this.upstream =
                new UpstreamClient(eventLoop, limits.connectTimeoutMs(), limits.idleConnectionMs(), () -> descriptors()
                        .hosts());
        this.dispatcher = new RequestDispatcher(
                eventLoop,
                limits.maxOpenRequests(),
                settings.limits().maxAttempts(),
                counters,
                policy,
                upstream,
                loadReports);
        this.drain = new DrainController(eventLoop.loop(), DrainTimings.of(settings.classes()), this);
        this.downstream = new DownstreamServer(
                eventLoop, config.listen(), settings, () -> descriptors().clients(), headMemory, dispatcher, drain);
        this.discovery = new DiscoveryClient(
                eventLoop.loop(), config.discovery(), discoveryTimings(settings), knownEndpoints, this);
        this.peers = new PeerTransport(eventLoop.loop(), config.gossip(), this::peerMessageReceived);
        this.peerSender = peers;
        policy.connect(policyFactory.apply(actionExecutor(loadReports)));
    }

    private static EventLoopContext eventLoopContext(
            ResourceLimits limits, Transport transport, NioEventLoopGroup group) {
        Clock clock = new Clock();
        EventLoop loop = group.next();
        return new EventLoopContext(
                clock,
                transport,
                group,
                loop,
                new EventLoopLag(clock, loop),
                new BufferBudget(limits.memoryMb()),
                new ProtectionCounters());
    }

    private static DiscoveryTimings discoveryTimings(Settings settings) {
        return new DiscoveryTimings(
                !settings.subscribesToHosts(), settings.rules().drainGraceMs(), settings.seed());
    }

    private PolicyActionExecutor actionExecutor(LoadReportParser loadReports) {
        HealthChecker healthChecker = new HealthChecker(
                eventLoop,
                upstream,
                loadReports,
                (host, outcome, latencyMs, report) ->
                        policy.post((now, p) -> p.healthCheckEnded(now, host, outcome, latencyMs, report)));
        return new PolicyActionExecutor(
                eventLoop, policy, dispatcher, healthChecker, (peer, message) -> peerSender.send(peer, message));
    }

    /** What this process may use: half of the sockets, while another one shares them. */
    private DescriptorBudget descriptors() {
        return besideAnother ? sharedDescriptors : exclusiveDescriptors;
    }

    // ---- start

    /** As {@link #start(Optional)} without a predecessor. */
    public boolean start() throws IOException {
        return start(Optional.empty());
    }

    /**
     * Starts all parts and returns once clients are served; by any thread but the event loop's.
     *
     * @param predecessor the snapshot that another process of this gateway left
     * @return false where a shutdown has begun before; then nobody is served
     * @throws IOException where the address of the clients can't be had
     */
    public boolean start(Optional<PolicySnapshot> predecessor) throws IOException {
        EventLoop loop = eventLoop.loop();
        try {
            loop.submit(() -> {
                        peers.start();
                        startPolicy(predecessor);
                        return discovery.start(FIRST_LIST_MS);
                    })
                    .sync()
                    .getNow()
                    .sync(); // the list that the agent holds counts before the first client comes
            Optional<ChannelFuture> bound =
                    loop.submit(this::startListener).sync().getNow();
            if (bound.isPresent()) {
                bound.get().sync();
                loop.submit(() -> {}).sync(); // the bind's own listener, by which isReady turns, has run by then
            }
            return bound.isPresent();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // Netty throws what failed as it is, checked or not
            throw new IOException("can't start: " + e.getMessage(), e);
        }
    }

    /** Serves the hosts that it is notified of and no others: without discovery, peers or a predecessor. */
    ChannelFuture startWithoutDiscovery() {
        startPolicy(Optional.empty());
        return startListener().orElseThrow();
    }

    private void startPolicy(Optional<PolicySnapshot> predecessor) {
        policyStarted = true;
        eventLoop.lag().start();
        policy.post((now, p) -> p.start(now, settings));
        knownEndpoints.ifPresent(list -> endpointsUpdated(HostListKind.CACHED, list.entries()));
        knownEndpoints = Optional.empty(); // it would stay in memory
        if (predecessor.isPresent()) {
            LOG.info(
                    "restored snapshot of predecessor",
                    "customers",
                    predecessor.get().quotas().size());
            policy.post((now, p) -> p.restoreSnapshot(now, predecessor.get()));
        }
        renewMetrics();
    }

    /** Empty where a shutdown has begun. */
    private Optional<ChannelFuture> startListener() {
        if (drain.hasBegun()) {
            return Optional.empty();
        }
        return Optional.of(
                downstream.start().addListener(bound -> listening = bound.isSuccess() && !drain.isLeavingAddress()));
    }

    private void renewMetrics() {
        eventLoop.loop().schedule(this::renewMetrics, METRICS_PERIOD_MS, TimeUnit.MILLISECONDS);
        metrics = new MetricsSnapshot(
                counters.classes(),
                counters.sends(),
                dispatcher.waitingRequests(),
                policy.clusterHealth(),
                policy.load(),
                headMemory.heldBytes(),
                eventLoop.budget().heldBytes(),
                eventLoop.protections().counts());
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    PolicyEventQueue policyEvents() {
        return policy;
    }

    RequestCounters counters() {
        return counters;
    }

    ProtectionCounters protections() {
        return eventLoop.protections();
    }

    // ---- what the process asks and changes, by any thread

    public Clock clock() {
        return eventLoop.clock();
    }

    public EventLoop loop() {
        return eventLoop.loop();
    }

    /** Whether clients are served: from the first moment of listening until the listener closes. */
    public boolean isReady() {
        return listening;
    }

    /** At most 0.1 s old unless the event loop is busy. */
    public MetricsSnapshot metrics() {
        return metrics;
    }

    /** The port of the listener, where the configuration left it to the system. */
    public int port() {
        return downstream.port();
    }

    /** Receives messages of peers from now on; before the policy has started they are dropped. */
    void startGossip() {
        eventLoop.loop().execute(peers::start);
    }

    /** Whether the fleet serves clients, which would come here, too, rather than wait for this gateway's full speed. */
    boolean hasHeardPeers() {
        return eventLoop
                .loop()
                .submit(peers::hasHeardPeers)
                .syncUninterruptibly()
                .getNow();
    }

    /** Takes from a new configuration what may change while clients are served; the rest waits for a restart. */
    public void reload(GatewayConfig config) {
        eventLoop.loop().execute(() -> discovery.moveTo(config.discovery()));
    }

    /** Ends everything at once and answers nothing. */
    public void stop() {
        eventLoop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // ---- handover

    @Override
    public PolicySnapshot takeSnapshot() throws InterruptedException, ExecutionException {
        return eventLoop.loop().submit(policy::takeSnapshot).get();
    }

    @Override
    public void restoreSnapshot(PolicySnapshot snapshot) {
        eventLoop.loop().execute(() -> policy.post((now, p) -> p.restoreSnapshot(now, snapshot)));
    }

    @Override
    public void runsBesideAnother(boolean anotherRuns) {
        eventLoop.loop().execute(() -> besideAnother = anotherRuns);
    }

    // ---- discovery and peers

    @Override
    public boolean hasEndpoints() {
        return upstream.hasHosts();
    }

    @Override
    public void endpointsUpdated(HostListKind kind, List<EndpointList.Entry> entries) {
        upstream.update(kind, entries);
        List<Host> hosts = new ArrayList<>(entries.size());
        entries.forEach(entry -> hosts.add(entry.host()));
        policy.post((now, p) -> p.hostsUpdated(now, kind, hosts));
    }

    /** Another way to the peers than datagrams. */
    void sendToPeersBy(PeerSender sender) {
        peerSender = sender;
    }

    void peerMessageReceived(int peer, byte[] message) {
        if (policyStarted) {
            policy.post((now, p) -> p.peerMessageReceived(now, peer, message));
        }
    }

    // ---- shutdown

    DrainController drain() {
        return drain;
    }

    @Override
    public boolean hasListened() {
        return downstream.isStarted();
    }

    @Override
    public ChannelFuture stopAccepting() {
        listening = false;
        return downstream.stopAccepting();
    }

    @Override
    public void closeIdleConnections() {
        downstream.closeIdle();
    }

    @Override
    public void abandonOpenRequests() {
        dispatcher.stopSending();
        downstream.closeUnfinished();
        dispatcher.endAll();
    }

    @Override
    public boolean isIdle() {
        return dispatcher.isEmpty() && downstream.isIdle();
    }
}
