package caperrudder.server;

import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.policy.TrafficPolicy;
import caperrudder.server.admin.MetricsSnapshot;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What crosses a planned stop: each request taken gets its one answer. */
class DrainControllerTest extends GatewaySocketTest {

    /** A client that takes nothing yet, so that answers wait here for it. */
    private Socket slowClient(GatewayServer node) throws Exception {
        Socket s = closeAtEnd(new Socket());
        s.setReceiveBufferSize(4096);
        s.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
        s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()));
        return s;
    }

    /** Until no request goes out any more although many wait. */
    @SuppressWarnings("ReferenceEquality") // each snapshot is a new object, however equal
    private static void awaitStall(GatewayServer node) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        MetricsSnapshot last = node.metrics();
        for (int same = 0; same < 3; ) {
            assertTrue(System.nanoTime() < end, "it never stalled");
            MetricsSnapshot now = node.metrics();
            if (now != last) {
                same = now.openRequests() == 0 && now.attemptsSent() > 0 && now.attemptsSent() == last.attemptsSent()
                        ? same + 1
                        : 0;
                last = now;
            }
            Thread.onSpinWait();
        }
    }

    /** The connection counted as idle and was closed: answers that its client had yet to take were lost. */
    @Test
    void pendingResponsesReachASlowClientBeforeItsConnectionCloses() throws Exception {
        String body = "x".repeat(60_000);
        GatewayServer node = gatewayFor(host((m, s) -> s.getOutputStream().write(TestRequests.ok(body))));
        int count = 400; // more than the buffers of both sides hold
        Socket slow = slowClient(node);
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(view("v" + i, GatewaySocketTest.TIMEOUT_MS));
        }
        Thread asking = new Thread(() -> {
            try {
                slow.getOutputStream().write(bytes(all.toString()));
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        });
        asking.start();
        awaitStall(node);
        node.loop().submit(node.drain()::stopServing).sync();
        int got = 0;
        for (HttpMessage m = HttpMessage.read(slow.getInputStream());
                m != null && m.header("Connection") == null;
                m = HttpMessage.read(slow.getInputStream())) {
            assertEquals(body.length(), m.body().length);
            got++;
        }
        assertTrue(got >= 16, "only " + got + " answers came whole"); // what had been read, and what was on its way
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
    }

    /** Its end may come only after the process has gone; closing says that nothing was taken. */
    @Test
    void incompleteRequestIsClosedOnceTheDrainIsOver() throws Exception {
        GatewayServer node = gatewayFor(host(GatewaySocketTest::echo));
        TestClient half = client(node);
        assertEquals(
                200,
                half.send(view("v", GatewaySocketTest.TIMEOUT_MS)).receive().status());
        half.send("GET /view/w HTTP/1.1\r\nX-Tr");
        TestClient other = client(node); // answered after the half has been read
        assertEquals(
                200,
                other.send(view("x", GatewaySocketTest.TIMEOUT_MS)).receive().status());
        node.loop().submit(node.drain()::stopServing).sync();
        node.loop().submit(node::abandonOpenRequests).sync();
        assertNull(half.receive());
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
    }

    /** The rest of a request that was half read when idle connections were closed is still taken. */
    @Test
    void incompleteRequestThatCompletesDuringADrainIsServed() throws Exception {
        GatewayServer node = gatewayFor(host(GatewaySocketTest::echo));
        TestClient half = client(node);
        assertEquals(
                200,
                half.send(view("v", GatewaySocketTest.TIMEOUT_MS)).receive().status());
        String request = view("w", GatewaySocketTest.TIMEOUT_MS);
        half.send(request.substring(0, 30));
        assertEquals(
                200,
                client(node)
                        .send(view("x", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .status());
        node.loop().submit(node.drain()::stopServing).sync();
        HttpMessage answer = half.send(request.substring(30)).receive();
        assertEquals("for w ", answer.text());
        assertEquals("close", answer.header("Connection"));
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
    }

    /** Told to end before it took anyone, it takes nobody and is done. */
    @Test
    void drainBeforeTheStartKeepsTheListenerClosed() throws Exception {
        discovery = closeAtEnd(new DiscoveryAgent(DiscoveryAgent.list(1, true)));
        GatewayServer node = TestGateways.unstarted(
                TestGateways.config(discovery.server().address(), "127.0.0.1:0"), TrafficPolicy::new);
        closeAtEnd(node::stop);
        node.loop().submit(() -> node.drain().begin(false)).sync();
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
        assertTrue(!node.start() && !node.isReady());
    }

    /** From the first moment of listening on: the first client's request is open when the end is told. */
    @Test
    void requestOpenAtTheBeginOfADrainIsAnswered() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        TestClient c = client(node).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        assertNotNull(host.next());
        node.loop().submit(() -> node.drain().begin(false)).sync();
        assertEquals("for v ", c.receive().text());
    }
}
