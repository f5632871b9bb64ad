package caperrudder.server;

import caperrudder.api.PolicySnapshot;
import caperrudder.server.admin.AdminServer;
import caperrudder.server.config.ConfigurationReloader;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.discovery.KnownEndpoints;
import caperrudder.server.handover.ProcessHandover;
import caperrudder.server.handover.SnapshotCodec;
import caperrudder.server.handover.SnapshotFormatException;
import caperrudder.server.runtime.DescriptorBudget;
import caperrudder.server.runtime.LibraryLog;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;

/**
 * The command {@code rehearse}: one short run of a gateway that is its own host, peer and discovery agent, so that each
 * part runs once. The build keeps the classes that it loads in an archive (deploy file, {@code build}), from which a
 * restarted gateway starts in half the time.
 */
public final class StartupProfileRun {
    private static final int ANSWER_MIN_BYTES = 64; // they hold a status line
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final long WARM_UP_TIMEOUT_MS = 60_000; // a build's machine may be slow, but a stall fails it
    private static final String CLAIM_FILE = "caperrudder-claim";
    private static final String CONFIG =
            """
            {"name": "rehearsal", "listen": "%1$s", "discovery": "%1$s", "seed": "1", "peer_listen": "%1$s",
             "peers": ["%1$s", "%1$s"], "known": {"version": 1, "full": true, "servers": [{"id": "self",
               "addr": "%1$s", "zone": "a", "kind": "k", "cell": 0, "state": "ready", "weight": 1,
               "started_ms": 0}]},
             "settings": {"ordinal": 0, "balancers": 2, "az": "a", "limits": {"max_attempts": 3, "cancel": true,
               "peer_messages": true, "retry_after": true, "max_retry_after_ms": 500},
               "specifics": {"max_units": 4, "mail_per_s": 40}, "classes": [{"name": "view",
               "effect": "repeatable", "goal_time_ms": 300, "hard_limit_ms": 600}],
               "plans": [{"name": "p", "units_per_s": 10, "depth": 10, "cap_rate": 20, "never_over_depth": 20}]}}
            """;

    @SuppressWarnings("StringConcatToTextBlock") // lines of HTTP end in two characters
    private static final String REQUEST = "GET %s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Plan: p\r\n"
            + "X-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: 600\r\nX-Quota: units=1,spread=%d,first=0\r\n"
            + "Connection: close\r\n\r\n";

    private StartupProfileRun() {}

    /**
     * Returns when each part has run.
     *
     * @throws IOException where a part failed
     */
    public static void run() throws IOException, InterruptedException {
        LibraryLog.install();
        InetSocketAddress address = freeAddress();
        KnownEndpoints known = new KnownEndpoints();
        GatewayConfig config = config(address, known);
        GatewayServer server = new GatewayServer(config, known.list());
        ConfigurationReloader.onHangup("");
        InetSocketAddress anyAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        int adminConnections =
                DescriptorBudget.exclusive(config.limits().sockets()).admin();
        try (AdminServer admin = new AdminServer(anyAddress, adminConnections, server::isReady, server::metrics)) {
            warmUp(config);
            server.start();
            request(address, "/healthz", "0", 1);
            request(address, "/view/alone", "1", 1);
            request(address, "/view/shared", "2", 2);
            InetSocketAddress adminAddress = new InetSocketAddress(anyAddress.getAddress(), admin.port());
            request(adminAddress, "/api/ready", "3", 1);
            request(adminAddress, "/api/telemetry", "4", 1);
            handOver(server);
        } catch (ExecutionException | SnapshotFormatException e) {
            throw new IOException(e);
        } finally {
            server.stop(); // or a build would never end
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
    }

    private static GatewayConfig config(InetSocketAddress address, KnownEndpoints known) throws IOException {
        String text = CONFIG.formatted(address.getAddress().getHostAddress() + ':' + address.getPort());
        return GatewayConfig.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), known);
    }

    private static void warmUp(GatewayConfig config) throws IOException, InterruptedException {
        int answers = StartupWarmUp.run(config, StartupWarmUp.ENOUGH_ANSWERS, WARM_UP_TIMEOUT_MS, () -> false);
        if (answers < StartupWarmUp.ENOUGH_ANSWERS) {
            throw new IOException("the warm-up came to a halt");
        }
    }

    private static void handOver(GatewayServer server)
            throws IOException, InterruptedException, ExecutionException, SnapshotFormatException {
        Path shared = Files.createTempDirectory(Path.of("target"), "rehearsal");
        ProcessHandover handover = new ProcessHandover(server, shared.toString(), server.clock());
        handover.begin();
        handover.startServing();
        if (handover.predecessorSnapshot().isPresent() || handover.hasServingSuccessor()) {
            throw new IOException("another process where there is none");
        }
        PolicySnapshot snapshot = server.takeSnapshot();
        SnapshotCodec.decode(SnapshotCodec.encode(snapshot));
        handover.end();
        Files.delete(shared.resolve(CLAIM_FILE));
        Files.delete(shared);
    }

    private static void request(InetSocketAddress address, String path, String id, int replicas) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(REQUEST.formatted(path, id, replicas).getBytes(StandardCharsets.US_ASCII));
            if (socket.getInputStream().readNBytes(ANSWER_MIN_BYTES).length == 0) {
                throw new IOException("no answer to " + path);
            }
        }
    }
}
