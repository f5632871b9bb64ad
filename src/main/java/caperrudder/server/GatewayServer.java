package caperrudder.server;

import caperrudder.api.ClusterHealth;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.Settings;
import caperrudder.api.Snapshot;
import caperrudder.policy.TrafficPolicy;
import caperrudder.server.admin.AdminServer;
import caperrudder.server.admin.MetricsSnapshot;
import caperrudder.server.admin.RequestCounters;
import caperrudder.server.config.ConfigurationException;
import caperrudder.server.config.ConfigurationReloader;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.discovery.DiscoveryClient;
import caperrudder.server.discovery.DiscoveryTimings;
import caperrudder.server.discovery.EndpointList;
import caperrudder.server.discovery.EndpointListener;
import caperrudder.server.discovery.KnownEndpoints;
import caperrudder.server.downstream.DownstreamServer;
import caperrudder.server.downstream.DrainStatus;
import caperrudder.server.handover.ProcessHandover;
import caperrudder.server.handover.SnapshotExchange;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.DescriptorBudget;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.EventLoopLag;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.LibraryLog;
import caperrudder.server.runtime.Log;
import caperrudder.server.runtime.StreamBufferBudget;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One api gateway: wires its parts together on the event loop on which everything runs, starts it and ends it. What
 * becomes of requests is the {@link RequestDispatcher}'s.
 */
public final class GatewayServer implements SnapshotExchange, EndpointListener, DrainStatus {
    private static final Log LOG = Log.of("gateway");
    private static final long EXIT_MS = 3400; // after SIGTERM: the last bytes have had their time
    private static final long FIRST_LIST_MS = 500; // an agent nearby that serves has answered by then
    private static final long POLL_MS = 20; // how often a drain looks whether all is answered
    private static final long METRICS_PERIOD_MS = 100; // how often the figures of the second address are renewed

    public final GatewayConfig config;
    public final Clock clock = new Clock();
    public final NioEventLoopGroup group;
    public final EventLoop loop;
    final EventLoopLag lag;
    private final DescriptorBudget alone;
    private final DescriptorBudget shared;
    private final PolicyEventQueue policy;
    private final RequestDispatcher dispatcher;
    private final DownstreamServer clients;
    private final UpstreamClient hosts;
    private final DiscoveryClient discovery;
    private final PeerTransport peers;
    private PeerSender peerSender;
    private Optional<EndpointList> known; // by the configuration, until the policy has been notified
    private final CountDownLatch drained = new CountDownLatch(1);
    private final RequestCounters counters;
    private volatile MetricsSnapshot metrics;
    private volatile boolean listening;
    private boolean serving; // before, what peers say is for the ears of a policy that has not begun
    private boolean beside; // another process of this gateway runs, within the same limits
    private boolean ending; // in a drain that leaves nobody at this address
    private boolean closing; // in a drain: all connections end with their next answer

    public GatewayServer(GatewayConfig config, Optional<EndpointList> known) {
        this(config, known, TrafficPolicy::new);
    }

    /** With a policy of the caller's making. */
    public GatewayServer(
            GatewayConfig config, Optional<EndpointList> known, Function<PolicyActions, PolicyEvents> maker) {
        this(config, known, maker, Transport.TCP, new NioEventLoopGroup(1));
    }

    public GatewayServer(
            GatewayConfig config,
            Optional<EndpointList> known,
            Function<PolicyActions, PolicyEvents> maker,
            Transport transport,
            NioEventLoopGroup group) {
        this.config = config;
        this.known = known;
        this.group = group;
        this.loop = group.next();
        this.lag = new EventLoopLag(clock, loop);
        this.alone = DescriptorBudget.exclusive(config.limits().sockets());
        this.shared = DescriptorBudget.shared(config.limits().sockets());
        this.counters = new RequestCounters(config.settings().classes());
        this.metrics = new MetricsSnapshot(counters.classes(), 0, 0, new ClusterHealth(0, 0));
        EventLoopContext eventLoop = new EventLoopContext(
                clock,
                transport,
                group,
                loop,
                lag,
                new StreamBufferBudget(config.limits().memoryMb()));
        LoadReportParser loadReports = new LoadReportParser(config.settings().loadReportFields());
        this.policy = new PolicyEventQueue(clock);
        this.hosts = new UpstreamClient(
                eventLoop, config.limits().connectTimeoutMs(), config.limits().idleConnectionMs(), () -> descriptors()
                        .hosts());
        this.dispatcher = new RequestDispatcher(
                eventLoop,
                config.limits().maxOpenRequests(),
                config.settings().limits().maxAttempts(),
                counters,
                policy,
                hosts,
                loadReports);
        this.clients = new DownstreamServer(
                eventLoop,
                config.listen(),
                config.settings(),
                () -> descriptors().clients(),
                dispatcher,
                this);
        this.discovery = new DiscoveryClient(loop, config.discovery(), discoveryTimings(config), known, this);
        this.peers = new PeerTransport(loop, config.gossip(), this::peerMessageReceived);
        this.peerSender = peers;
        HealthChecker healthChecker = new HealthChecker(
                eventLoop,
                hosts,
                loadReports,
                (host, outcome, latencyMs, report) ->
                        policy.post((now, p) -> p.healthCheckEnded(now, host, outcome, latencyMs, report)));
        policy.connect(maker.apply(new PolicyActionExecutor(
                eventLoop, policy, dispatcher, healthChecker, (peer, data) -> peerSender.send(peer, data))));
    }

    private static DiscoveryTimings discoveryTimings(GatewayConfig config) {
        Settings settings = config.settings();
        return new DiscoveryTimings(
                !settings.subscribesToHosts(), settings.rules().drainGraceMs(), settings.seed());
    }

    /** Serves until SIGTERM; a bad configuration or an address that can't be had ends it with one line. */
    public static void main(String configFile, String adminAddress) {
        FatalErrorHandler.arm();
        LibraryLog.install();
        ConfigurationReloader reloader =
                ConfigurationReloader.onHangup(configFile); // first of all: SIGHUP ends a process that does not take it
        try {
            KnownEndpoints known = new KnownEndpoints();
            GatewayConfig config = GatewayConfig.read(configFile, known).withAdminAddress(adminAddress);
            GatewayServer node = new GatewayServer(config, known.list());
            ProcessHandover handover = new ProcessHandover(node, System.getenv("TMPDIR"), node.clock);
            // Before it listens: SIGTERM between the two would end the process with what it had just taken.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> node.drainAndHalt(handover)));
            node.openSecondAddress();
            node.loop.execute(node.peers::start);
            handover.begin();
            LOG.info(
                    "warmed up",
                    "answers",
                    StartupWarmUp.run(
                            config,
                            StartupWarmUp.ENOUGH_ANSWERS,
                            handover.warmUpLimitMs(StartupWarmUp.TIMEOUT_MS),
                            node::isMissed));
            if (node.start(handover.predecessorSnapshot().orElse(null))) {
                handover.startServing();
                reloader.follow(node::reload);
            }
        } catch (ConfigurationException | IOException | InterruptedException e) {
            LOG.fatal("can't start", "cause", e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    /** Returns once clients are served; false where it was told to end before. */
    public boolean start() throws IOException {
        return start(null);
    }

    /** With what another process of this gateway left, or null. */
    private boolean start(Snapshot left) throws IOException {
        try {
            loop.submit(() -> {
                        peers.start();
                        begin(left);
                        return discovery.start(FIRST_LIST_MS);
                    })
                    .sync()
                    .getNow()
                    .sync(); // what the agent holds counts as told before the first client comes
            ChannelFuture bound = loop.submit(this::open).sync().getNow();
            if (bound != null) {
                bound.sync();
            }
            return bound != null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // netty throws what failed as it is, checked or not
            throw new IOException("can't start: " + e.getMessage(), e);
        }
    }

    /** The second address, where there is one; clients are served without it, too. */
    private void openSecondAddress() {
        if (config.admin().isPresent()) {
            try {
                new AdminServer(
                        config.admin().get(),
                        DescriptorBudget.exclusive(config.limits().sockets()).admin(),
                        this::isReady,
                        this::metrics);
            } catch (IOException e) {
                LOG.warn("no admin address", "cause", e.getMessage());
            }
        }
    }

    /** Whether clients are taken: from the first moment on until the listener closes. */
    public boolean isReady() {
        return listening;
    }

    public MetricsSnapshot metrics() {
        return metrics;
    }

    RequestCounters counters() {
        return counters;
    }

    /** The requests that are open. */
    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    private void renewMetrics() {
        loop.schedule(this::renewMetrics, METRICS_PERIOD_MS, TimeUnit.MILLISECONDS);
        metrics = new MetricsSnapshot(
                counters.classes(), counters.sends(), dispatcher.waitingRequests(), policy.clusterHealth());
    }

    /** Whether the fleet serves clients, which would come here, too, rather than wait for this gateway's full speed. */
    boolean isMissed() {
        return loop.submit(peers::hasHeardPeers).syncUninterruptibly().getNow();
    }

    /** Serves, on the event loop, the hosts that the configuration names and no others. */
    ChannelFuture startWithoutDiscovery() {
        begin(null);
        return open();
    }

    /** Null where this gateway has been told to end: nobody is taken then. */
    private ChannelFuture open() {
        return closing || ending ? null : clients.start().addListener(f -> listening = f.isSuccess() && !ending);
    }

    private void begin(Snapshot left) {
        serving = true;
        lag.start();
        policy.post((now, m) -> m.start(now, config.settings()));
        known.ifPresent(list -> endpointsUpdated(HostListKind.CACHED, list.entries()));
        known = Optional.empty(); // it would stay in memory
        if (left != null) {
            LOG.info(
                    "restored snapshot of predecessor",
                    "customers",
                    left.quotas().size());
            policy.post((now, m) -> m.restoreSnapshot(now, left));
        }
        renewMetrics();
    }

    /** Another way to the other gateways than datagrams. */
    void sendToPeersBy(PeerSender sender) {
        peerSender = sender;
    }

    /** Takes from a new configuration what may change while clients are served; the rest waits for a restart. */
    public void reload(GatewayConfig fresh) {
        loop.execute(() -> discovery.moveTo(fresh.discovery()));
    }

    // ---- the turn from one process to the next

    @Override
    public Snapshot takeSnapshot() throws InterruptedException, ExecutionException {
        return loop.submit(() -> policy.takeSnapshot()).get();
    }

    @Override
    public void restoreSnapshot(Snapshot snapshot) {
        loop.execute(() -> policy.post((now, m) -> m.restoreSnapshot(now, snapshot)));
    }

    @Override
    public void runsBesideAnother(boolean anotherRuns) {
        loop.execute(() -> beside = anotherRuns);
    }

    @Override
    public boolean isLeavingAddress() {
        return ending;
    }

    /** What this process may use: half of the sockets, while another shares them. */
    DescriptorBudget descriptors() {
        return beside ? shared : alone;
    }

    @Override
    public boolean isClosingConnections() {
        return closing;
    }

    @Override
    public boolean hasEndpoints() {
        return hosts.hasHosts();
    }

    @Override
    public void endpointsUpdated(HostListKind kind, List<EndpointList.Entry> entries) {
        hosts.update(kind, entries);
        List<Host> list = new ArrayList<>(entries.size());
        entries.forEach(e -> list.add(e.host()));
        policy.post((now, m) -> m.hostsUpdated(now, kind, list));
    }

    void peerMessageReceived(int peer, byte[] data) {
        if (serving) {
            policy.post((now, m) -> m.peerMessageReceived(now, peer, data));
        }
    }

    // ---- the end

    private void drainAndHalt(ProcessHandover handover) {
        boolean succeeded = handover.hasServingSuccessor();
        loop.execute(() -> end(succeeded));
        try {
            awaitDrained(EXIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    /** Told to end, at whatever moment: also before it took anyone. */
    void end(boolean succeeded) {
        if (!clients.isStarted()) {
            ending = true;
            drained.countDown();
        } else if (succeeded) {
            giveWay();
        } else {
            drain();
        }
    }

    /** Accepts and serves on for a while, since clients still come; answers all; then lets the process end. */
    void drain() {
        ending = true;
        DrainTimings times = DrainTimings.of(config.settings().classes());
        loop.schedule(this::stopAccepting, times.acceptMs(), TimeUnit.MILLISECONDS);
        loop.schedule(this::stopServing, times.serveMs(), TimeUnit.MILLISECONDS);
        loop.schedule(this::abandonOpenRequests, times.endMs(), TimeUnit.MILLISECONDS);
    }

    /** Another process serves at this address: takes nobody more, and leaves once nobody is connected. */
    void giveWay() {
        LOG.info("yielding to successor process");
        closing = true;
        stopAccepting().addListener(f -> awaitEmpty()); // those who waited are taken by then
        DrainTimings times = DrainTimings.of(config.settings().classes());
        loop.schedule(this::stopServing, times.serveMs(), TimeUnit.MILLISECONDS);
        loop.schedule(this::abandonOpenRequests, times.endMs(), TimeUnit.MILLISECONDS);
    }

    public ChannelFuture stopAccepting() {
        listening = false;
        return clients.stopAccepting();
    }

    /** From here on only requests that already came are answered. */
    void stopServing() {
        closing = true;
        clients.closeIdle();
        awaitEmpty();
    }

    /** Gives up every attempt and what came of requests that are not whole; all else is answered as ever. */
    void abandonOpenRequests() {
        dispatcher.stopSending();
        clients.closeUnfinished();
        dispatcher.endAll();
    }

    private void awaitEmpty() {
        if (dispatcher.isEmpty() && clients.isIdle()) {
            drained.countDown();
        } else {
            loop.schedule(this::awaitEmpty, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean awaitDrained(long ms) throws InterruptedException {
        return drained.await(ms, TimeUnit.MILLISECONDS);
    }

    /** The port of the listener, where the configuration left it to the system. */
    public int port() {
        return clients.port();
    }

    /** Ends everything at once and answers nothing. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
