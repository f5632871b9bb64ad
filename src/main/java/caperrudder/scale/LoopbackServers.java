package caperrudder.scale;

import caperrudder.scale.SimulatedDiscovery.SimulatedHost;
import caperrudder.scale.SimulatedDiscovery.State;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery and hosts over HTTP on loopback. All hosts of the list share one address, so that thousands need no more
 * sockets than a gateway opens. Calls are answered on daemon threads of its own; all methods may be called from any
 * thread.
 */
final class LoopbackServers implements Closeable {
    private static final Pattern WATCH = Pattern.compile("from=(\\d+)&hold_ms=(\\d+)");
    private static final byte[] BODY = "ok".getBytes(StandardCharsets.US_ASCII);
    private static final int OK = 200;
    private static final long NANOS_PER_MS = 1_000_000;

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true"); // else a short answer waits 40 ms for the other side
    }

    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread t = new Thread(work, "loopback-server");
        t.setDaemon(true);
        return t;
    });
    private final HttpServer discoveryServer;
    private final HttpServer hostServer;
    private final int responseMs;
    private final SimulatedDiscovery discovery;
    private final byte[] fullList;
    private SimulatedHost lastChanged; // guarded by this, as is discovery
    private final AtomicLong fullLists = new AtomicLong();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong bytesSent = new AtomicLong();

    LoopbackServers(int hosts, long seed, int responseMs) throws IOException {
        this.responseMs = responseMs;
        this.hostServer = serve(this::answerRequest);
        this.discovery = new SimulatedDiscovery(hosts, seed, n -> address(hostServer));
        this.fullList = discovery.fullList();
        this.discoveryServer = serve(this::answerList);
    }

    private HttpServer serve(HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", handler);
        server.setExecutor(threads);
        server.start();
        return server;
    }

    private static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Host and port of discovery. */
    String discoveryAddress() {
        return address(discoveryServer);
    }

    /** How many full lists it has sent. */
    long fullLists() {
        return fullLists.get();
    }

    /** How many calls discovery has answered. */
    long calls() {
        return calls.get();
    }

    /** The bytes of all lists and changes sent. */
    long bytesSent() {
        return bytesSent.get();
    }

    /** One host drains or comes back; watches are answered at once. */
    synchronized void change(int number) {
        lastChanged = discovery.hosts().get(number);
        discovery.change(lastChanged, lastChanged.state() == State.READY ? State.DRAINING : State.READY, 0);
        notifyAll();
    }

    private void answerList(HttpExchange exchange) throws IOException {
        calls.incrementAndGet();
        String query = exchange.getRequestURI().getQuery();
        Matcher watch = WATCH.matcher(query == null ? "" : query);
        byte[] text;
        try {
            text = watch.matches()
                    ? changesSince(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                    : all();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        bytesSent.addAndGet(text.length);
        respond(exchange, text);
    }

    private byte[] all() {
        fullLists.incrementAndGet();
        return fullList;
    }

    /** The one change that is new, the full list where there are more, or no change after the wait. */
    private synchronized byte[] changesSince(long from, long holdMs) throws InterruptedException {
        long end = System.nanoTime() + holdMs * NANOS_PER_MS;
        while (discovery.version() <= from) {
            long leftMs = (end - System.nanoTime()) / NANOS_PER_MS;
            if (leftMs <= 0) {
                return discovery.changes(List.of());
            }
            wait(leftMs);
        }
        if (discovery.version() == from + 1) {
            return discovery.changes(List.of(lastChanged));
        }
        fullLists.incrementAndGet();
        return discovery.fullList();
    }

    private void answerRequest(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        try {
            Thread.sleep(responseMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.getResponseHeaders().set("Endpoint-Load-Metrics", "TEXT inflight=1, queue=0, util=0.1");
        exchange.getResponseHeaders().set("X-Quota-Used", "1");
        respond(exchange, BODY);
    }

    private static void respond(HttpExchange exchange, byte[] text) throws IOException {
        exchange.sendResponseHeaders(OK, text.length);
        try (OutputStream body = exchange.getResponseBody()) {
            body.write(text);
        }
    }

    @Override
    public void close() {
        discoveryServer.stop(0);
        hostServer.stop(0);
        threads.shutdownNow();
    }
}
