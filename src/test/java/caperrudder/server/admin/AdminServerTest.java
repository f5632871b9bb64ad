package caperrudder.server.admin;

import static caperrudder.server.TestRequests.order;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.policy.TrafficPolicy;
import caperrudder.server.DiscoveryAgent;
import caperrudder.server.GatewayServer;
import caperrudder.server.GatewaySocketTest;
import caperrudder.server.HttpMessage;
import caperrudder.server.ScriptedServer;
import caperrudder.server.TestClient;
import caperrudder.server.TestGateways;
import caperrudder.server.TestRequests;
import caperrudder.server.runtime.DescriptorBudget;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The second address: who asks it, and what it says of the node. */
class AdminServerTest extends GatewaySocketTest {
    private static final int FEW_SOCKETS = 100; // room for the fewest callers
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private AdminServer admin(GatewayServer node) throws IOException {
        return closeAtEnd(
                new AdminServer(ANY, DescriptorBudget.exclusive(FEW_SOCKETS).admin(), node::isReady, node::metrics));
    }

    private static Socket open(AdminServer admin) throws IOException {
        Socket s = new Socket(ANY.getAddress(), admin.port());
        s.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
        return s;
    }

    private static HttpMessage call(AdminServer admin, String line) throws IOException {
        try (Socket s = open(admin)) {
            s.getOutputStream().write(TestRequests.bytes(line + " HTTP/1.1\r\nHost: h\r\n\r\n"));
            HttpMessage answer = HttpMessage.read(s.getInputStream());
            assertEquals(-1, s.getInputStream().read(), "one call to a connection");
            return answer;
        }
    }

    private static void awaitMetric(AdminServer admin, String line) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (!call(admin, "GET /api/telemetry").text().lines().toList().contains(line)) {
            assertTrue(System.nanoTime() < end, "never told: " + line);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET /api/ready,200",
        "GET /api/telemetry,200",
        "GET /api/ready?now=1,200",
        "POST /api/ready,405",
        "DELETE /api/telemetry,405",
        "GET /api/ready/,404",
        "GET /,404",
        "POST /none,404",
        "GET  x  y z,400"
    })
    void eachRequestLineGetsItsStatus(String line, int status) throws Exception {
        assertEquals(status, call(admin(gatewayFor()), line).status());
    }

    @Test
    void readyOnlyWhileTheListenerIsOpen() throws Exception {
        discovery = closeAtEnd(new DiscoveryAgent(DiscoveryAgent.list(1, true)));
        GatewayServer node = TestGateways.unstarted(
                TestGateways.config(discovery.server().address(), "127.0.0.1:0"), TrafficPolicy::new);
        closeAtEnd(node::stop);
        AdminServer admin = admin(node);
        assertEquals(503, call(admin, "GET /api/ready").status());
        node.start();
        assertEquals(200, call(admin, "GET /api/ready").status());
        node.loop().submit(node::stopAccepting).sync();
        assertEquals(503, call(admin, "GET /api/ready").status());
    }

    /** The staff could not see that requests were refused for their size, nor how many. */
    @Test
    void refusalsAreCountedByReason() throws Exception {
        GatewayServer node = gatewayFor();
        AdminServer admin = admin(node);
        client(node)
                .send("GET / HTTP/1.1\r\nA: " + "x".repeat(9000) + "\r\n\r\n")
                .receive();
        client(node)
                .send("POST /order/x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
                .receive();
        awaitMetric(admin, "app_protections_total{action=\"refused\",reason=\"head_size\"} 1");
        awaitMetric(admin, "app_protections_total{action=\"refused\",reason=\"body_size\"} 1");
        awaitMetric(admin, "app_protections_total{action=\"closed\",reason=\"evicted\"} 0");
    }

    @Test
    void eachRequestIsCountedOnceByItsResult() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {
            if (m.start().contains("/view/held")) {
                told.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            if (m.start().startsWith("POST")) {
                s.close();
                return;
            }
            echo(m, s);
        });
        GatewayServer node = gatewayFor(host);
        AdminServer admin = admin(node);
        TestClient c = client(node);
        String tiny = view("t", GatewaySocketTest.TIMEOUT_MS)
                .replace("X-Plan: free", "X-Plan: tiny")
                .replace("b4d65521", "b4d65522");
        assertEquals(200, c.send(tiny).receive().status());
        assertEquals(429, c.send(tiny).receive().status());
        assertEquals(502, c.send(order("o", "b")).receive().status()); // three attempts
        TestClient held = client(node).send(view("held", GatewaySocketTest.TIMEOUT_MS));
        awaitMetric(admin, "app_current 1");
        awaitMetric(admin, "app_sends_total 5");
        awaitMetric(admin, "app_transactions_total{group=\"view\",state=\"answered\"} 1");
        awaitMetric(admin, "app_transactions_total{group=\"view\",state=\"deferred\"} 1");
        awaitMetric(admin, "app_transactions_total{group=\"order\",state=\"errored\"} 1");
        awaitMetric(admin, "app_cluster_size 1");
        told.countDown();
        assertEquals(200, held.receive().status());
        awaitMetric(admin, "app_current 0");
        awaitMetric(admin, "app_transactions_total{group=\"view\",state=\"answered\"} 2");
    }

    @Test
    void silentConnectionsAreClosedForNewOnes() throws Exception {
        AdminServer admin = admin(gatewayFor());
        Socket[] silent = new Socket[20];
        for (int i = 0; i < silent.length; i++) {
            silent[i] = closeAtEnd(open(admin));
            silent[i].getOutputStream().write(TestRequests.bytes("GET /api/re"));
        }
        assertEquals(200, call(admin, "GET /api/ready").status());
        for (Socket s : silent) {
            assertNull(ended(s));
        }
    }

    private static HttpMessage ended(Socket s) {
        try {
            return HttpMessage.read(s.getInputStream());
        } catch (IOException reset) {
            return null;
        }
    }

    /** What its thread answers from was made before, so a loop that stands still delays no call. */
    @Test
    void answersWhileTheClientsEventLoopIsBlocked() throws Exception {
        GatewayServer node = gatewayFor();
        AdminServer admin = admin(node);
        CountDownLatch released = new CountDownLatch(1);
        node.loop().execute(() -> {
            try {
                released.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertEquals(200, call(admin, "GET /api/ready").status());
        assertEquals(200, call(admin, "GET /api/telemetry").status());
        assertEquals(1, released.getCount());
        released.countDown();
    }
}
