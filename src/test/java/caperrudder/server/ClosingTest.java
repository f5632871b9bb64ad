package caperrudder.server;

import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Bytes that arrive as the gateway ends a client's connection: they reach no host, and cost no answer. */
class ClosingTest extends GatewaySocketTest {
    private static final int TIME = GatewaySocketTest.TIMEOUT_MS;
    private static final String BODY = "x".repeat(40_000);

    /** A client that has taken little of its answer when the gateway ends the connection. */
    private Socket slow(GatewayServer node) throws Exception {
        Socket s = closeAtEnd(new Socket());
        s.setReceiveBufferSize(2048);
        s.setSoTimeout(TIME);
        s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()));
        return s;
    }

    private static void awaitAnswered(GatewayServer node, long count) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIME);
        while (node.metrics().classes().get(0).answered() < count) {
            assertTrue(System.nanoTime() < end, "not answered");
            Thread.onSpinWait();
        }
    }

    private static void assertTakenWhole(Socket s) throws Exception {
        HttpMessage answer = HttpMessage.read(s.getInputStream());
        assertEquals(200, answer.status());
        assertEquals(BODY.length(), answer.body().length);
        assertNull(HttpMessage.read(s.getInputStream()));
    }

    /** Closing over what had come behind the request reset the connection, and most of the answer was lost. */
    @Test
    void lastResponseIsTakenWholeWhenMoreWasSentThanIsRead() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        ScriptedServer host = host((m, to) -> {
            sent.await(TIME, TimeUnit.MILLISECONDS);
            to.getOutputStream().write(TestRequests.ok(BODY));
        });
        GatewayServer node = gatewayFor(host);
        Socket s = slow(node);
        s.getOutputStream().write(bytes(view("v", TIME).replace("Host: h", "Host: h\r\nConnection: close")));
        assertNotNull(host.next());
        s.getOutputStream().write(bytes(view("w", TIME).repeat(1200)));
        sent.countDown();
        awaitAnswered(node, 1);
        assertTakenWhole(s);
        assertEquals(1, node.metrics().attemptsSent());
    }

    /** The close of a connection that rested crossed a request, and the answer before was not taken yet. */
    @Test
    void responseIsTakenWholeWhenARequestCrossesTheClose() throws Exception {
        GatewayServer node = gatewayFor(host((m, to) -> to.getOutputStream().write(TestRequests.ok(BODY))));
        Socket s = slow(node);
        s.getOutputStream().write(bytes(view("v", TIME)));
        awaitAnswered(node, 1);
        node.loop().submit(node.drain()::stopServing).sync();
        s.getOutputStream().write(bytes(view("w", TIME)));
        assertTakenWhole(s);
        s.close();
        assertTrue(node.drain().awaitDrained(TIME));
        assertEquals(1, node.metrics().attemptsSent());
    }

    /** Read after the end of the output it can't be answered: its client asks again elsewhere. */
    @Test
    void requestThatCrossesTheCloseReachesNoHost() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        TestClient c = client(node);
        assertEquals("for v ", c.send(view("v", TIME)).receive().text());
        TestClient half = client(node);
        assertEquals("for u ", half.send(view("u", TIME)).receive().text());
        node.loop()
                .submit(() -> {
                    node.drain().stopServing();
                    c.send(view("w", TIME));
                    return null;
                })
                .sync();
        assertNull(c.receive());
        assertNull(half.receive());
        half.send("GET /view/x HTTP/1.1\r\nX-Tr");
        c.close();
        half.close();
        assertTrue(node.drain().awaitDrained(TIME));
        assertEquals(2, host.requests().size());
    }

    /** A client that neither takes nor ends holds nothing up for long. */
    @Test
    void clientThatNeverEndsItsSideIsClosedSoon() throws Exception {
        GatewayServer node = gatewayFor(host(GatewaySocketTest::echo));
        TestClient c = client(node);
        assertEquals(200, c.send(view("v", TIME)).receive().status());
        node.loop().submit(node.drain()::stopServing).sync();
        assertNull(c.receive());
        assertTrue(node.drain().awaitDrained(TIME));
    }

    /** Nor does one that goes on sending without end: it is read away only for a while. */
    @Test
    void floodBehindTheLastResponseIsCutOff() throws Exception {
        GatewayServer node = gatewayFor(host(GatewaySocketTest::echo));
        TestClient c = client(node);
        c.send(view("v", TIME).replace("Host: h", "Host: h\r\nConnection: close"));
        assertEquals("for v ", c.receive().text());
        byte[] flood = new byte[64 * 1024];
        boolean cut = false;
        for (long sent = 0; sent < 1L << 30 && !cut; sent += flood.length) {
            try {
                c.socket().getOutputStream().write(flood);
            } catch (java.io.IOException e) {
                cut = true;
            }
        }
        assertTrue(cut, "1 GiB was read away");
    }

    /** Connections of which only the client's end is awaited take nobody's place. */
    @Test
    void lingeringConnectionsAreEvictedFirst() throws Exception {
        discovery = closeAtEnd(new DiscoveryAgent(DiscoveryAgent.list(1, true)));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"sockets\": 1024", "\"sockets\": 60"));
        closeAtEnd(node::stop);
        String health = "GET /healthz HTTP/1.1\r\nHost: h\r\n";
        TestClient regular = client(node);
        assertEquals(200, regular.send(health + "\r\n").receive().status());
        for (int i = 0; i < 100; i++) { // four times as many as fit
            TestClient c = client(node);
            assertEquals(
                    200, c.send(health + "Connection: close\r\n\r\n").receive().status());
            assertNull(c.receive());
        }
        assertEquals(200, regular.send(health + "\r\n").receive().status());
    }
}
