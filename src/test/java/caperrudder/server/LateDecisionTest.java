package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.PolicyLoad;
import caperrudder.api.Request;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Requests that wait for the owner of their quota while the gateway is held up leave nothing behind. Guards against a
 * gateway that rejected everything after a few short stalls, as their slots were never given back
 * (docs/incidents/slots-never-returned.md).
 */
class LateDecisionTest extends GatewaySocketTest {
    private static final int REQUESTS = 40;
    private static final int EXPIRES_MS = 250;
    private static final int LATE_MS = 500; // an answer that is later by so much is lost

    private static String viewOf(int customer, String id, int expiresMs) {
        return view(id, expiresMs)
                .replace("00000000b4d65521", "%016x".formatted(customer))
                .replace("X-Plan: free", "X-Plan: tiny")
                .replace("spread=1", "spread=2");
    }

    /** A gateway whose only peer never replies, so that it waits for the decisions on half of all customers. */
    private GatewayServer gatewayWithSilentPeer(ScriptedServer host) throws Exception {
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        String listen = freeAddress();
        GatewayServer gateway =
                TestGateways.start(TestGateways.config(discovery.server().address(), listen, listen, freeAddress()));
        closeAtEnd(gateway::stop);
        return gateway;
    }

    private static String freeAddress() throws SocketException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static void awaitNothingHeld(GatewayServer gateway) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        PolicyLoad load = gateway.metrics().policyLoad();
        while (load.pendingRequests() > 0 || load.slotsInUse() > 0) {
            assertTrue(System.nanoTime() < end, "held for good: " + load);
            Thread.sleep(20);
            load = gateway.metrics().policyLoad();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {90, 140, 230, 400})
    void nothingIsHeldAfterAStall(int stallMs) throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer gateway = gatewayWithSilentPeer(host);
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(client(gateway));
        }
        long begun = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            clients.get(i).send(viewOf(i, "s" + i, EXPIRES_MS));
        }
        awaitOpenRequests(gateway);
        CountDownLatch released = blockEventLoop(gateway);
        Thread.sleep(stallMs); // the stall is what is tested
        released.countDown();
        for (TestClient client : clients) {
            assertNotNull(client.receive(), "no answer");
        }
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(tookMs < EXPIRES_MS + LATE_MS + stallMs, "answered after " + tookMs + " ms");
        awaitNothingHeld(gateway);
        assertEquals(
                200, client(gateway).send(view("after", TIMEOUT_MS)).receive().status());
    }

    private static void awaitOpenRequests(GatewayServer gateway) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (gateway.loop().submit(gateway.dispatcher()::isEmpty).get()) {
            assertTrue(System.nanoTime() < end, "no request came");
        }
    }

    /** A policy that sends a request after the server has answered it is told that the request is over. */
    @Test
    void attemptOfARequestThatIsOverEndsWithItsRequest() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        GatewayServer gateway =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0"));
        closeAtEnd(gateway::stop);
        awaitWatches(1);
        double now = gateway.clock().now();
        Request unknown = new Request("unknown", now + TIMEOUT_MS, now, false, "view", 1, "free", 1, 0, 1);
        PolicyLoad load = gateway.loop()
                .submit(() -> {
                    gateway.policyEvents().post((at, policy) -> policy.requestReceived(at, unknown));
                    return gateway.policyEvents().load();
                })
                .get();
        assertEquals(0, load.pendingRequests());
        assertEquals(0, load.slotsInUse());
        assertEquals(0, host.requests().size());
    }
}
