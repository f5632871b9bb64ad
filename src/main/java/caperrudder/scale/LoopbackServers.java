package caperrudder.scale;

import caperrudder.scale.SimulatedDiscovery.Entry;
import caperrudder.scale.SimulatedDiscovery.State;
import com.sun.net.httpserver.HttpExchange;
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
 * Discovery and hosts on loopback. All hosts of the list share one address, so that thousands need no more sockets
 * than a gateway opens.
 */
final class LoopbackServers implements Closeable {
    private static final Pattern WATCH = Pattern.compile("from=(\\d+)&hold_ms=(\\d+)");
    private static final byte[] BODY = "ok".getBytes(StandardCharsets.US_ASCII);
    private static final int OK = 200;

    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread t = new Thread(work, "stand-in");
        t.setDaemon(true);
        return t;
    });
    private final HttpServer agent;
    private final HttpServer host;
    private final int answerMs;
    private final SimulatedDiscovery discovery;
    private final byte[] whole;
    private Entry changed; // by the latest change
    private final AtomicLong wholeLists = new AtomicLong();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong bytesTold = new AtomicLong();

    LoopbackServers(int hosts, long seed, int answerMs) throws IOException {
        this.answerMs = answerMs;
        this.host = serve(this::answer);
        this.discovery = new SimulatedDiscovery(hosts, seed, n -> address(host));
        this.whole = discovery.whole();
        this.agent = serve(this::list);
    }

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true"); // else a short answer waits 40 ms for the other side
    }

    private HttpServer serve(com.sun.net.httpserver.HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", handler);
        server.setExecutor(threads);
        server.start();
        return server;
    }

    private static String address(HttpServer of) {
        return "127.0.0.1:" + of.getAddress().getPort();
    }

    String discoveryAddress() {
        return address(agent);
    }

    long wholeLists() {
        return wholeLists.get();
    }

    long calls() {
        return calls.get();
    }

    long bytesTold() {
        return bytesTold.get();
    }

    /** One host drains or comes back; who watches is told at once. */
    synchronized void change(int number) {
        changed = discovery.entries().get(number);
        discovery.change(changed, changed.state() == State.READY ? State.DRAINING : State.READY, 0);
        notifyAll();
    }

    private void list(HttpExchange exchange) throws IOException {
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
        bytesTold.addAndGet(text.length);
        tell(exchange, text);
    }

    private byte[] all() {
        wholeLists.incrementAndGet();
        return whole;
    }

    /** The one change that is new, the whole list where more are, or none after the wait. */
    private synchronized byte[] changesSince(long from, long holdMs) throws InterruptedException {
        long end = System.nanoTime() + holdMs * 1_000_000;
        while (discovery.version() <= from) {
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                return discovery.changes(List.of());
            }
            wait(leftMs);
        }
        if (discovery.version() == from + 1) {
            return discovery.changes(List.of(changed));
        }
        wholeLists.incrementAndGet();
        return discovery.whole();
    }

    private void answer(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        try {
            Thread.sleep(answerMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.getResponseHeaders().set("Endpoint-Load-Metrics", "TEXT inflight=1, queue=0, util=0.1");
        exchange.getResponseHeaders().set("X-Quota-Used", "1");
        tell(exchange, BODY);
    }

    private static void tell(HttpExchange exchange, byte[] text) throws IOException {
        exchange.sendResponseHeaders(OK, text.length);
        try (OutputStream body = exchange.getResponseBody()) {
            body.write(text);
        }
    }

    @Override
    public void close() {
        agent.stop(0);
        host.stop(0);
        threads.shutdownNow();
    }
}
