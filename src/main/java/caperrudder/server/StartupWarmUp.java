package caperrudder.server;

import caperrudder.api.CoordinationSettings;
import caperrudder.api.HostListKind;
import caperrudder.api.Settings;
import caperrudder.policy.TrafficPolicy;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.config.GossipConfig;
import caperrudder.server.runtime.Transport;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Before a gateway serves clients, two gateways of its kind serve synthetic ones within the process's memory, so that
 * the code which every request runs through is compiled by then. Otherwise, on a third of a core, the first seconds of
 * interpreted code serve half of what comes, and the queue that this leaves in the sockets makes all the rest late as
 * well: clients give up, connect anew, and accepting them takes the time that answers need.
 *
 * <p>It also covers a start on a whole core. It could hurt where gateways restart one after another, since the longer
 * absence of each leaves few of them: it ends at once where the fleet turns out to serve, and at a time limit.
 */
final class StartupWarmUp {
    /** Answers after which nearly all that a request needs is compiled: methods are from some 50 calls on. */
    static final int ENOUGH_ANSWERS = 60;

    /** The longest time of a warm-up: after it a gateway serves, warm or not. */
    static final long TIMEOUT_MS = 8000;

    static final Transport TRANSPORT = Transport.MEMORY;

    private static final long QUIET_MS = 20; // in which each side learns of the other's end
    private static final long SHUTDOWN_MAX_MS = 1000;
    private static final long POLL_MS = 50; // how often it looks whether it should end early
    private static final int GATEWAYS = 2;
    private static final double PEER_MESSAGES_PER_SECOND = 4000; // no message is delayed
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final GatewayConfig config;
    private final CountDownLatch missingAnswers;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    /** Another event loop: what both sides of a channel in memory do on one, they do from inside each other. */
    private final NioEventLoopGroup outsideGroup = new NioEventLoopGroup(1);

    private final List<GatewayServer> gateways = new ArrayList<>();
    private final WarmUpHosts hosts;
    private final WarmUpClients clients;

    private StartupWarmUp(GatewayConfig config, int answers) {
        this.config = config;
        this.missingAnswers = new CountDownLatch(answers);
        this.hosts = new WarmUpHosts(outsideGroup, config.settings().zone());
        this.clients = new WarmUpClients(outsideGroup, config.settings(), address(0), missingAnswers);
    }

    /**
     * Warms up until so many {@code answers} have come, {@code timeoutMs} are over or {@code endsEarly} says so, which is
     * asked every 50 ms. Returns how many of the answers came.
     */
    static int run(GatewayConfig config, int answers, long timeoutMs, BooleanSupplier endsEarly)
            throws InterruptedException {
        StartupWarmUp warmUp = new StartupWarmUp(config, answers);
        try {
            warmUp.start();
            warmUp.awaitAnswers(timeoutMs, endsEarly);
            return (int) (answers - warmUp.missingAnswers.getCount());
        } finally {
            warmUp.stop();
        }
    }

    private void awaitAnswers(long timeoutMs, BooleanSupplier endsEarly) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        boolean complete;
        do {
            complete = missingAnswers.await(POLL_MS, TimeUnit.MILLISECONDS);
        } while (!complete && System.nanoTime() < end && !endsEarly.getAsBoolean());
    }

    private void start() throws InterruptedException {
        hosts.listen(GATEWAYS);
        for (int index = 0; index < GATEWAYS; index++) {
            gateways.add(new GatewayServer(configOf(index), Optional.empty(), TrafficPolicy::new, TRANSPORT, group));
        }
        for (int index = 0; index < GATEWAYS; index++) {
            startGateway(index);
        }
        clients.start();
    }

    private void startGateway(int index) throws InterruptedException {
        GatewayServer gateway = gateways.get(index);
        GatewayServer other = gateways.get(GATEWAYS - 1 - index);
        gateway.sendToPeersBy((peer, message) -> group.execute(() -> other.peerMessageReceived(index, message)));
        group.submit(() -> gateway.startWithoutDiscovery()).sync().getNow().sync();
        group.execute(() -> gateway.endpointsUpdated(HostListKind.FULL, hosts.endpoints()));
    }

    /** Ends from the clients on, so that each side has learnt of the other's end before its event loop goes. */
    private void stop() throws InterruptedException {
        clients.close();
        group.submit(() -> gateways.forEach(GatewayServer::abandonOpenRequests)).await();
        hosts.close();
        group.submit(() -> {}).await();
        Future<?> outsideEnded = outsideGroup.shutdownGracefully(QUIET_MS, SHUTDOWN_MAX_MS, TimeUnit.MILLISECONDS);
        group.shutdownGracefully(QUIET_MS, SHUTDOWN_MAX_MS, TimeUnit.MILLISECONDS)
                .await();
        outsideEnded.await();
    }

    /** Addresses in memory: those of the gateways, then those of the hosts. */
    static InetSocketAddress address(int number) {
        return new InetSocketAddress(LOOPBACK, number + 1);
    }

    /** The configuration of this gateway, but for a fleet of two without discovery. */
    private GatewayConfig configOf(int index) {
        return new GatewayConfig(
                address(index),
                Optional.empty(),
                config.discovery(),
                GossipConfig.none(),
                config.limits(),
                settingsOf(index));
    }

    private Settings settingsOf(int index) {
        Settings settings = config.settings();
        return new Settings(
                settings.seed(),
                index,
                GATEWAYS,
                settings.zone(),
                false,
                settings.classes(),
                settings.plans(),
                settings.loadReportFields(),
                settings.limits(),
                settings.rules(),
                withoutDelays(settings.coordination()));
    }

    private static CoordinationSettings withoutDelays(CoordinationSettings coordination) {
        return new CoordinationSettings(
                coordination.sharedCounters(),
                coordination.sharedCounterPrice(),
                coordination.meterPeriodMs(),
                coordination.postPaid(),
                coordination.maxUnits(),
                PEER_MESSAGES_PER_SECOND,
                coordination.peerMessagePrice(),
                coordination.healthCheckPrice(),
                coordination.crossZonePrice());
    }
}
