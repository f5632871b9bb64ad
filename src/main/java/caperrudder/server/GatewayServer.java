package caperrudder.server;

import caperrudder.api.AttemptResult;
import caperrudder.api.ClusterHealth;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.Request;
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
import caperrudder.server.handover.ProcessHandover;
import caperrudder.server.handover.SnapshotExchange;
import caperrudder.server.http.RequestBody;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.DescriptorBudget;
import caperrudder.server.runtime.EventLoopLag;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.LibraryLog;
import caperrudder.server.runtime.Log;
import caperrudder.server.runtime.StreamBufferBudget;
import caperrudder.server.runtime.Transport;
import caperrudder.server.upstream.UpstreamAttempt;
import caperrudder.server.upstream.UpstreamClient;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One api gateway: the event loop on which everything runs, the clock, the timers, the decision module and the
 * table of open requests. It carries out what the module decides and tells it what came of it.
 */
public final class GatewayServer implements PolicyActions, SnapshotExchange, EndpointListener {
    private static final Log LOG = Log.of("gateway");
    private static final long EXIT_MS = 3400; // after SIGTERM: the last bytes have had their time
    private static final long FIRST_LIST_MS = 500; // an agent nearby that serves has answered by then
    private static final long POLL_MS = 20; // how often a drain looks whether all is answered
    private static final long METRICS_PERIOD_MS = 100; // how often the figures of the second address are renewed
    private static final double MICROS_PER_MS = 1000;
    private static final double[] NO_REPORT = new double[0];

    /** Something that the module is to be told. */
    private interface Event {
        void tell(double now, PolicyEvents module);
    }

    /** The way to the other gateways. */
    interface Mail {
        void send(int peer, byte[] data);
    }

    public final GatewayConfig config;
    public final Clock clock = new Clock();
    public final Transport transport;
    public final NioEventLoopGroup group;
    public final EventLoop loop;
    public final EventLoopLag lag;
    public final StreamBufferBudget budget;
    private final DescriptorBudget alone;
    private final DescriptorBudget shared;
    private final PolicyEvents module;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final DownstreamServer clients;
    private final UpstreamClient hosts;
    private final DiscoveryClient discovery;
    private final PeerTransport peers;
    private Mail mail;
    private Optional<EndpointList> known; // by the configuration, until the module has been told
    private final CountDownLatch drained = new CountDownLatch(1);
    private final RequestCounters tally;
    private volatile MetricsSnapshot metrics;
    private volatile boolean listening;
    private boolean telling;
    private boolean serving; // before, what peers say is for the ears of a module that has not begun
    private boolean beside; // another process of this gateway runs, within the same limits
    private boolean ending; // in a drain that leaves nobody at this address
    private boolean closing; // in a drain: all connections end with their next answer
    private boolean over; // the drain's time is up: nothing more is sent

    public GatewayServer(GatewayConfig config, Optional<EndpointList> known) {
        this(config, known, TrafficPolicy::new);
    }

    /** With a module of the caller's making. */
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
        this.transport = transport;
        this.group = group;
        this.loop = group.next();
        this.lag = new EventLoopLag(clock, loop);
        this.budget = new StreamBufferBudget(config.limits().memoryMb());
        this.alone = DescriptorBudget.exclusive(config.limits().sockets());
        this.shared = DescriptorBudget.shared(config.limits().sockets());
        this.module = maker.apply(this);
        this.tally = new RequestCounters(config.settings().classes());
        this.metrics = new MetricsSnapshot(tally.classes(), 0, 0, new ClusterHealth(0, 0));
        this.clients = new DownstreamServer(this);
        this.hosts = new UpstreamClient(this);
        this.discovery = new DiscoveryClient(loop, config.discovery(), discoveryTimings(config), known, this);
        this.peers = new PeerTransport(this);
        this.mail = peers;
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
                            StartupWarmUp.ENOUGH,
                            handover.warmUpLimitMs(StartupWarmUp.PATIENCE_MS),
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
                        if (!peers.started()) {
                            peers.start();
                        }
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

    public RequestCounters tally() {
        return tally;
    }

    private void renewMetrics() {
        loop.schedule(this::renewMetrics, METRICS_PERIOD_MS, TimeUnit.MILLISECONDS);
        long current =
                open.values().stream().filter(r -> !r.closed() && r.isWhole()).count();
        metrics = new MetricsSnapshot(tally.classes(), tally.sends(), current, module.clusterHealth(clock.now()));
    }

    /** Whether the fleet serves clients, which would come here, too, rather than wait for this gateway's full speed. */
    boolean isMissed() {
        return loop.submit(peers::hasHeard).syncUninterruptibly().getNow();
    }

    /** Serves, on the event loop, the hosts that the configuration names and no others. */
    ChannelFuture listen() {
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
        tell((now, m) -> m.start(now, config.settings()));
        known.ifPresent(list -> endpointsUpdated(HostListKind.CACHED, list.entries()));
        known = Optional.empty(); // it would stay in memory
        if (left != null) {
            LOG.info(
                    "restored snapshot of predecessor",
                    "customers",
                    left.quotas().size());
            tell((now, m) -> m.restoreSnapshot(now, left));
        }
        renewMetrics();
    }

    /** Another way to the other gateways than datagrams. */
    void linkBy(Mail other) {
        mail = other;
    }

    /** Takes from a new configuration what may change while clients are served; the rest waits for a restart. */
    public void reload(GatewayConfig fresh) {
        loop.execute(() -> discovery.moveTo(fresh.discovery()));
    }

    // ---- the turn from one process to the next

    @Override
    public Snapshot takeSnapshot() throws InterruptedException, ExecutionException {
        return loop.submit(() -> module.takeSnapshot(clock.now())).get();
    }

    @Override
    public void restoreSnapshot(Snapshot snapshot) {
        loop.execute(() -> tell((now, m) -> m.restoreSnapshot(now, snapshot)));
    }

    @Override
    public void runsBesideAnother(boolean anotherRuns) {
        loop.execute(() -> beside = anotherRuns);
    }

    // ---- telling the module

    /**
     * Tells the module in order, and never from inside itself: what its own actions bring about at once waits
     * until it has returned.
     */
    private void tell(Event event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.tell(clock.now(), module);
                } catch (RuntimeException e) { // the guard of its deadline still answers the request concerned
                    LOG.error("event handler threw", "cause", e);
                    e.printStackTrace();
                } catch (Error e) {
                    FatalErrorHandler.check(e);
                    throw e;
                }
            }
        } finally {
            telling = false;
        }
    }

    /** Whether nobody will serve at this address soon. */
    public boolean ending() {
        return ending;
    }

    /** What this process may use: half of the sockets, while another shares them. */
    public DescriptorBudget descriptors() {
        return beside ? shared : alone;
    }

    public boolean closing() {
        return closing;
    }

    /** Whether a request of this id is open: a second one would be answered with what was made for the first. */
    public boolean knows(String id) {
        return open.containsKey(id);
    }

    /** Takes a request from its client, whole or with its body on its way; the entry owns the message from here on. */
    public void taken(Request r, HttpRequest head, RequestBody body, DownstreamServer.Connection client) {
        OpenRequest entry = new OpenRequest(r, head, body, client);
        open.put(r.id(), entry);
        client.holds(entry);
        if (entry.isWhole()) {
            guard(entry);
        }
        tell((now, m) -> m.requestReceived(now, r));
    }

    private void guard(OpenRequest r) {
        r.guard = loop.schedule(() -> deadline(r), micros(r.deadlineMs() - clock.now()), TimeUnit.MICROSECONDS);
    }

    /** The last byte has come of a request that was taken before. */
    public void whole(OpenRequest r) {
        r.beginsAt(clock.now() - lag.ms());
        guard(r);
        tell((now, m) -> m.requestCompleted(now, r.request.id(), r.deadlineMs()));
    }

    public void bodyLeft(UpstreamAttempt a) {
        tell((now, m) -> m.requestNotReplayable(now, a.owner.request.id()));
    }

    private static long micros(double ms) {
        return (long) (Math.max(0, ms) * MICROS_PER_MS);
    }

    public boolean full() {
        return open.size() >= config.limits().maxOpenRequests();
    }

    /** Rule 1: attempts end with the client's time, and what the module then leaves unanswered fails here. */
    private void deadline(OpenRequest r) {
        if (r.passing != null
                && (r.closed() || r.passing.isLong() || !r.client().takes())) {
            return; // the first bytes came in time, and the rest has the client's
        }
        endAttempts(r); // a short answer that goes on and on is none: its client sees that it is not whole
        if (!r.closed()) {
            LOG.error("no decision before the deadline, request failed");
            answer(r, RequestCounters.End.ERRORED, HttpResponseStatus.GATEWAY_TIMEOUT, 0);
        }
    }

    private void endAttempts(OpenRequest r) {
        for (UpstreamAttempt a : List.copyOf(r.attempts)) {
            if (!a.ended) {
                a.abandon();
                attemptEnded(a, Outcome.TIMEOUT, null);
            }
        }
    }

    public void clientLeft(OpenRequest r) {
        if (r.closed()) {
            return;
        }
        r.close(tally, RequestCounters.End.ERRORED);
        tell((now, m) -> m.clientDisconnected(now, r.request.id()));
        if (r.passing != null) {
            r.passing.abandon();
            attemptEnded(r.passing, Outcome.CANCELLED, null);
        }
        forgetIfOver(r);
    }

    /** Whether a client waits for it: asked before anything is sent, however late the loop comes to its sockets. */
    public boolean isAwaited(OpenRequest r) {
        return !r.closed() && r.client().stays();
    }

    /** An answer begins that is passed on as it comes; false where the client has its answer or is gone. */
    public boolean answerBegun(UpstreamAttempt a, HttpResponse head) {
        OpenRequest r = a.owner;
        if (a.ended || r.closed()) {
            return false;
        }
        r.passing = a;
        r.client().begin(head, a);
        tell((now, m) -> m.responseStarted(now, r.request.id(), a.number));
        return true;
    }

    public void answerPart(UpstreamAttempt a, ByteBuf part) {
        DownstreamServer.Connection client = a.owner.client();
        if (client == null) {
            part.release();
        } else {
            client.part(part);
        }
    }

    /** The end of an attempt, told once; the first whole 200 goes to the client unchanged. */
    public void attemptEnded(UpstreamAttempt a, Outcome outcome, FullHttpResponse response) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.stopTimer();
        OpenRequest r = a.owner;
        r.out--;
        if (r.passing == a) {
            DownstreamServer.Connection client =
                    r.close(tally, outcome == Outcome.OK ? RequestCounters.End.ANSWERED : RequestCounters.End.ERRORED);
            if (client != null) {
                client.end(outcome == Outcome.OK);
            }
        } else if (outcome == Outcome.OK) {
            DownstreamServer.Connection client = r.close(tally, RequestCounters.End.ANSWERED);
            if (client != null) {
                client.serve(response);
            }
        }
        boolean closed = r.closed();
        double took = a.took(clock.now());
        HttpResponse told = a.told(response);
        double[] report = told == null ? NO_REPORT : hosts.report(told);
        int used = told == null ? 0 : UpstreamClient.used(told);
        tell((now, m) -> m.attemptEnded(
                now, new AttemptResult(r.request.id(), a.number, a.host, outcome, took, closed, used, 0, report)));
        forgetIfOver(r);
    }

    private void forgetIfOver(OpenRequest r) {
        if (r.closed() && r.out == 0 && open.remove(r.request.id(), r)) {
            if (r.guard != null) {
                r.guard.cancel(false);
            }
            r.body.discard();
        }
    }

    @Override
    public boolean hasEndpoints() {
        return hosts.known();
    }

    @Override
    public void endpointsUpdated(HostListKind kind, List<EndpointList.Entry> entries) {
        hosts.listed(kind, entries);
        List<Host> list = new ArrayList<>(entries.size());
        entries.forEach(e -> list.add(e.host()));
        tell((now, m) -> m.hostsUpdated(now, kind, list));
    }

    public void probed(String host, Outcome outcome, double took, double[] report) {
        tell((now, m) -> m.healthCheckEnded(now, host, outcome, took, report));
    }

    void peerSaid(int peer, byte[] data) {
        if (serving) {
            tell((now, m) -> m.peerMessageReceived(now, peer, data));
        }
    }

    // ---- what the module does

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        OpenRequest r = open.get(id);
        if (r == null) {
            return;
        }
        double now = clock.now();
        UpstreamAttempt a = new UpstreamAttempt(this, r, host, now);
        r.attempts.add(a);
        r.out++;
        if (!isAwaited(r)) {
            clientLeft(r); // no news yet where it is told only by what stands in the socket
        }
        if (over
                || r.closed()
                || r.isWhole() && now >= r.deadlineMs()
                || a.number >= config.settings().limits().maxAttempts()) {
            attemptEnded(a, Outcome.NOT_SENT, null);
            return;
        }
        if (timeoutMs > 0) {
            a.limit(loop.schedule(
                    () -> {
                        a.abandon();
                        attemptEnded(a, Outcome.TIMEOUT, null);
                    },
                    micros(timeoutMs),
                    TimeUnit.MICROSECONDS));
        }
        hosts.send(a);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        OpenRequest r = open.get(id);
        if (r == null || attempt < 0 || attempt >= r.attempts.size() || r.attempts.get(attempt).ended) {
            return;
        }
        UpstreamAttempt a = r.attempts.get(attempt);
        a.abandon();
        attemptEnded(a, Outcome.CANCELLED, null);
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        answer(open.get(id), RequestCounters.End.DEFERRED, HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        answer(open.get(id), RequestCounters.End.ERRORED, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(OpenRequest r, RequestCounters.End end, HttpResponseStatus status, double retryAfterMs) {
        DownstreamServer.Connection client = r == null ? null : r.close(tally, end);
        if (client != null) {
            client.answer(status, retryAfterMs);
        }
        if (r != null) {
            forgetIfOver(r);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        loop.schedule(() -> tell((now, m) -> m.timerFired(now, token)), micros(delayMs), TimeUnit.MICROSECONDS);
    }

    @Override
    public void startHealthCheck(String host) {
        hosts.probe(host);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        mail.send(peer, data);
    }

    /** There is no counter on these sockets, so a call can't get through. */
    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        tell((now, m) -> m.counterUpdated(now, counter, Outcome.CONNECT_FAILED, 0));
    }

    /** Discovery is always watched. */
    @Override
    public void subscribeToHosts() {}

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
        if (!clients.started()) {
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
        loop.schedule(this::endAll, times.endMs(), TimeUnit.MILLISECONDS);
    }

    /** Another process serves at this address: takes nobody more, and leaves once nobody is connected. */
    void giveWay() {
        LOG.info("yielding to successor process");
        closing = true;
        stopAccepting().addListener(f -> awaitEmpty()); // those who waited are taken by then
        DrainTimings times = DrainTimings.of(config.settings().classes());
        loop.schedule(this::stopServing, times.serveMs(), TimeUnit.MILLISECONDS);
        loop.schedule(this::endAll, times.endMs(), TimeUnit.MILLISECONDS);
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
    void endAll() {
        over = true;
        clients.closeUnfinished();
        for (OpenRequest r :
                open.values().stream().filter(o -> o.passing == null).toList()) {
            endAttempts(r); // the module refuses or fails it, as its further attempts are void now
        }
        for (OpenRequest r : List.copyOf(open.values())) {
            if (!r.closed() && r.passing == null) { // still held
                answer(r, RequestCounters.End.ERRORED, HttpResponseStatus.BAD_GATEWAY, 0);
            }
        }
    }

    private void awaitEmpty() {
        if (open.isEmpty() && clients.idle()) {
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
        return ((java.net.InetSocketAddress) clients.listener().localAddress()).getPort();
    }

    /** Ends everything at once and answers nothing. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
