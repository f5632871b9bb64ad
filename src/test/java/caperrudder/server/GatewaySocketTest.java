package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.PooledByteBufAllocator;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;

/** A gateway between real sockets, which all end with the test, and no buffer of which may be lost. */
public abstract class GatewaySocketTest {
    /** How long a test waits for what must come. */
    public static final int TIMEOUT_MS = 30_000;

    private static final Logger LEAKS = Logger.getLogger("io.netty.util.ResourceLeakDetector");
    private static final List<String> LEAKED = new CopyOnWriteArrayList<>();
    private static final Handler NOTE = new Handler() {
        @Override
        public void publish(LogRecord r) {
            LEAKED.add(r.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    private final Deque<Closeable> resources = new ArrayDeque<>();
    public DiscoveryAgent discovery;

    @BeforeAll
    static void noteLeaks() {
        LEAKS.addHandler(NOTE);
    }

    /** A buffer that was not released shows once it has been collected and another is taken. */
    @AfterAll
    static void noBufferWasLeaked() {
        for (int i = 0; i < 5; i++) {
            System.gc();
            PooledByteBufAllocator.DEFAULT.buffer(64).release();
        }
        LEAKS.removeHandler(NOTE);
        assertEquals(List.of(), LEAKED);
    }

    @AfterEach
    void close() throws IOException {
        for (Closeable c : resources) {
            c.close();
        }
    }

    /** Closes it behind the test, before what was given here earlier. */
    public <T extends Closeable> T closeAtEnd(T end) {
        resources.push(end);
        return end;
    }

    public ScriptedServer host(ScriptedServer.Script answer) throws IOException {
        return closeAtEnd(new ScriptedServer(answer));
    }

    public static void echo(HttpMessage m, java.net.Socket s) throws IOException {
        s.getOutputStream().write(ok("for " + m.header("X-Trace-Id") + " " + m.text()));
    }

    public GatewayServer gatewayListing(String... entries) throws IOException {
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entries)));
        GatewayServer gateway =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0"));
        closeAtEnd(gateway::stop);
        return gateway;
    }

    public GatewayServer gatewayFor(ScriptedServer... hosts) throws IOException {
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            entries[i] = entry("h" + i, hosts[i].address(), "ready");
        }
        return gatewayListing(entries);
    }

    public TestClient client(GatewayServer gateway) throws IOException {
        return closeAtEnd(new TestClient(gateway));
    }

    /** Keeps the gateway's event loop busy until the latch is counted down. */
    static CountDownLatch blockEventLoop(GatewayServer gateway) throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        gateway.loop().execute(() -> {
            busy.countDown();
            try {
                released.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(busy.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        return released;
    }

    static void awaitClock(GatewayServer gateway, double ms) {
        while (gateway.clock().now() < ms) {
            Thread.onSpinWait();
        }
    }

    static void awaitOpenRequests(GatewayServer gateway, long count) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (gateway.metrics().openRequests() != count) {
            assertTrue(System.nanoTime() < end, "not " + count + " requests open");
            Thread.onSpinWait();
        }
    }

    public void awaitWatches(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (discovery.watches() < count) {
            assertTrue(System.nanoTime() < end, "no watch came");
            Thread.sleep(5);
        }
    }
}
