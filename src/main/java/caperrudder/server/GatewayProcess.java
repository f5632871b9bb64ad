package caperrudder.server;

import caperrudder.server.admin.AdminServer;
import caperrudder.server.config.ConfigurationException;
import caperrudder.server.config.ConfigurationReloader;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.discovery.KnownEndpoints;
import caperrudder.server.handover.ProcessHandover;
import caperrudder.server.runtime.DescriptorBudget;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.LibraryLog;
import caperrudder.server.runtime.Log;
import java.io.IOException;

/** The process of one gateway (page DEPLOY): its start, its signals and its end. */
public final class GatewayProcess {
    private static final Log LOG = Log.of("gateway");
    private static final Log ADMIN_LOG = Log.of("admin");
    private static final String SHARED_FOLDER = "TMPDIR"; // of the environment
    private static final int EXIT_NOT_STARTED = 1;
    private static final int EXIT_DRAINED = 0;
    private static final long EXIT_MS = 3400; // after SIGTERM: the last bytes have had their time

    private GatewayProcess() {}

    /**
     * Serves until SIGTERM; a bad configuration or an address that can't be had ends the process with one log line and
     * exit code 1.
     *
     * @param configFile from {@code NODE_CONFIG}; may be null
     * @param adminAddress from {@code NODE_ADMIN_ADDR}; may be null
     */
    public static void main(String configFile, String adminAddress) {
        FatalErrorHandler.arm();
        LibraryLog.install();
        // First of all: SIGHUP ends a process that does not take it.
        ConfigurationReloader reloader = ConfigurationReloader.onHangup(configFile);
        try {
            KnownEndpoints known = new KnownEndpoints();
            GatewayConfig config = GatewayConfig.read(configFile, known).withAdminAddress(adminAddress);
            start(config, new GatewayServer(config, known.list()), reloader);
        } catch (ConfigurationException | IOException | InterruptedException e) {
            LOG.fatal("can't start", "cause", e.getMessage());
            Runtime.getRuntime().halt(EXIT_NOT_STARTED);
        }
    }

    private static void start(GatewayConfig config, GatewayServer server, ConfigurationReloader reloader)
            throws IOException, InterruptedException {
        ProcessHandover handover = new ProcessHandover(server, System.getenv(SHARED_FOLDER), server.clock());
        // Before it listens: SIGTERM between the two would end the process with the clients that it had just accepted.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(server, handover)));
        openAdminAddress(config, server);
        server.startGossip();
        handover.begin();
        int answers = StartupWarmUp.run(
                config,
                StartupWarmUp.ENOUGH_ANSWERS,
                handover.warmUpLimitMs(StartupWarmUp.TIMEOUT_MS),
                server::hasHeardPeers);
        LOG.info("warmed up", "answers", answers);
        if (server.start(handover.predecessorSnapshot())) {
            handover.startServing();
            reloader.follow(server::reload);
        }
    }

    /** Clients are served without an admin address, too. */
    private static void openAdminAddress(GatewayConfig config, GatewayServer server) {
        if (config.admin().isEmpty()) {
            return;
        }
        int maxConnections =
                DescriptorBudget.exclusive(config.limits().sockets()).admin();
        try {
            new AdminServer(config.admin().get(), maxConnections, server::isReady, server::metrics);
        } catch (IOException e) {
            ADMIN_LOG.warn("no admin address", "cause", e.getMessage());
        }
    }

    /** At SIGTERM, on a thread of its own. */
    private static void drainAndHalt(GatewayServer server, ProcessHandover handover) {
        boolean hasSuccessor = handover.hasServingSuccessor();
        server.loop().execute(() -> server.drain().begin(hasSuccessor));
        try {
            server.drain().awaitDrained(EXIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(EXIT_DRAINED);
    }
}
