package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.server.admin.MetricsSnapshot;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A request whose client leaves while it waits is not sent on; under a new connection: {@link LateConnectionTest}. */
class LeavingClientTest extends GatewaySocketTest {
    private static final int TIME = GatewaySocketTest.TIMEOUT_MS;

    /** From now on there is a host, and only what another client asks comes to it. */
    private void assertOnlyOthersAreServed(GatewayServer node, int watches) throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery.updates().add(list(9, false, entry("late", host.address(), "ready")));
        awaitWatches(watches + 1);
        assertEquals("for w ", client(node).send(view("w", TIME)).receive().text());
        assertEquals(1, host.requests().size());
    }

    @Test
    void clientLeftInTheQueueIsNotSentFor() throws Exception {
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        TestClient c = client(node).send(view("v", TIME));
        awaitOpenRequests(node, 1);
        c.close();
        awaitOpenRequests(node, 0);
        assertOnlyOthersAreServed(node, 1);
    }

    @Test
    void clientLeftBetweenTwoAttemptsIsNotSentFor() throws Exception {
        CountDownLatch noOther = new CountDownLatch(1);
        CountDownLatch turnedAway = new CountDownLatch(1);
        ScriptedServer full = host((m, s) -> {
            noOther.await(TIME, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(bytes("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
            turnedAway.countDown();
        });
        GatewayServer node = gatewayFor(full);
        awaitWatches(1);
        TestClient c = client(node).send(view("v", TIME));
        assertNotNull(full.next());
        awaitOpenRequests(node, 1);
        discovery.updates().add(list(2, false, entry("h0", full.address(), "draining")));
        awaitWatches(2);
        noOther.countDown();
        turnedAway.await(TIME, TimeUnit.MILLISECONDS);
        c.close();
        awaitOpenRequests(node, 0);
        assertOnlyOthersAreServed(node, 2);
    }

    /** A connection that was not read did not tell that its client had left: the request went out all the same. */
    @Test
    void clientLeftWhilePipeliningPausesReadingIsNotSentFor() throws Exception {
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        StringBuilder ahead = new StringBuilder();
        for (int i = 0; i < 24; i++) { // more than are read ahead
            ahead.append(view("v" + i, TIME));
        }
        TestClient c = client(node).send(ahead.toString());
        awaitOpenRequests(node, 1);
        c.close();
        awaitOpenRequests(node, 0);
        assertOnlyOthersAreServed(node, 1);
    }

    @Test
    void clientLeftWhileBadRequestsPauseReadingIsNotSentFor() throws Exception {
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        String bad = view("b", TIME).replace("units=1", "units=x");
        TestClient c = client(node).send(bad + bad + bad + view("v", TIME));
        awaitOpenRequests(node, 1);
        c.close();
        awaitOpenRequests(node, 0);
        assertOnlyOthersAreServed(node, 1);
    }

    /** What was kept of it while it was not read comes in its order, whole. */
    @Test
    void pipelinedRequestsOfAStayingClientAreServed() throws Exception {
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        StringBuilder ahead = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            ahead.append(view("v" + i, TIME));
        }
        TestClient c = client(node).send(ahead.toString());
        awaitOpenRequests(node, 1);
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery.updates().add(list(9, false, entry("late", host.address(), "ready")));
        for (int i = 0; i < 100; i++) {
            assertEquals("for v" + i + " ", c.receive().text());
        }
    }

    /** Besides "u", which came before, the host is asked only what a client asks that stays. */
    private static void assertAskedOnlyThese(ScriptedServer host, TestClient stays) throws Exception {
        assertEquals("for w ", stays.send(view("w", TIME)).receive().text());
        assertEquals(
                List.of("u", "w"),
                host.requests().stream().map(m -> m.header("X-Trace-Id")).toList());
    }

    private static String views(int bytes) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; all.length() < bytes; i++) {
            all.append(view("v" + i, TIME));
        }
        return all.toString();
    }

    /** With more than 4 KiB unread behind the request that waits its client's end was not seen. */
    @Test
    void clientLeftBehindManyPipelinedBytesIsNotSentFor() throws Exception {
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        TestClient c = client(node).send(views(100_000));
        awaitOpenRequests(node, 1);
        c.close();
        awaitOpenRequests(node, 0);
        MetricsSnapshot.EndedRequests views = node.metrics().classes().get(0);
        assertEquals(List.of(0L, 1L), List.of(views.deferred(), views.errored()), "refused when its time was up");
        assertOnlyOthersAreServed(node, 1);
    }

    /** Nothing tells that it has left before the attempt of its first request is to begin. */
    private void assertNoAttemptOnceItLeft(String sent) throws Exception {
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        TestClient c = client(node).send(sent);
        awaitOpenRequests(node, 1);
        c.close();
        assertOnlyOthersAreServed(node, 1);
        awaitOpenRequests(node, 0);
    }

    /** Nor is it where more stands unread than is kept of one client: that is read away before an attempt begins. */
    @Test
    void clientLeftBehindMorePipelinedBytesThanAreKeptIsNotSentFor() throws Exception {
        assertNoAttemptOnceItLeft(views(250_000));
    }

    /** Behind a request that waits a long body is no reason to stop reading: its client may leave, too. */
    @Test
    void clientLeftBehindALongPipelinedBodyIsNotSentFor() throws Exception {
        assertNoAttemptOnceItLeft(view("v", TIME) + TestRequests.order("o", "x".repeat(200_000)));
    }

    /** What was kept is served in its order; what came beyond is refused, and the connection ends. */
    @Test
    void clientStayingBehindMoreThanIsKeptIsServedWhatWasKept() throws Exception {
        GatewayServer node = gatewayListing();
        awaitWatches(1);
        TestClient c = client(node).send(views(250_000));
        awaitOpenRequests(node, 1);
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery.updates().add(list(9, false, entry("late", host.address(), "ready")));
        int served = 0;
        HttpMessage answer = c.receive();
        for (; answer.status() == 200; answer = c.receive()) {
            assertEquals("for v" + served + " ", answer.text());
            served++;
        }
        assertTrue(served > 128 * 1024 / view("v9999", TIME).length(), "only " + served);
        assertEquals(503, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertNull(c.receive());
    }

    /** Its request would be sent on to a host that waits for its end. */
    @Test
    void longBodyCutOffBehindOtherRequestsReachesNoHost() throws Exception {
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true)));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"memory_mb\": 192", "\"memory_mb\": 1"));
        closeAtEnd(node::stop);
        awaitWatches(1);
        String ahead = "";
        for (int i = 0; i < 16; i++) {
            ahead += view("v" + i, TIME);
        }
        TestClient c = client(node).send(ahead + TestRequests.order("o", "x".repeat(200_000)));
        awaitOpenRequests(node, 1);
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery.updates().add(list(9, false, entry("late", host.address(), "ready")));
        for (int i = 0; i < 16; i++) {
            assertEquals("for v" + i + " ", c.receive().text());
        }
        assertEquals(503, c.receive().status());
        assertEquals(16, host.requests().size());
    }

    /** Whatever brings the attempt about (a timer, an answer, a word of a peer), the loop may be late to the socket. */
    @Test
    void clientWhoseEndIsUnreadAtAnAttemptIsNotSentFor() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        awaitWatches(1);
        assertEquals("for u ", client(node).send(view("u", TIME)).receive().text());
        double rested = node.clock().now() + 50; // its connection may carry the next
        discovery.updates().add(list(8, false, entry("h0", host.address(), "draining")));
        awaitWatches(2);
        TestClient c = client(node).send(view("v", TIME));
        awaitOpenRequests(node, 1);
        awaitClock(node, rested);
        node.loop()
                .submit(() -> {
                    c.close();
                    node.dispatcher().send("v", "h0", 0);
                    return null;
                })
                .sync();
        awaitOpenRequests(node, 0);
        discovery.updates().add(list(9, false, entry("h0", host.address(), "ready")));
        awaitWatches(3);
        assertAskedOnlyThese(host, client(node));
    }

    /** The request and its client's end were read one after the other, and the attempt began between the two. */
    @Test
    void clientWhoseRequestAndEndWereUnreadTogetherIsNotSentFor() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        TestClient other = client(node);
        assertEquals("for u ", other.send(view("u", TIME)).receive().text());
        TestClient c = client(node).send("GET /healthz HTTP/1.1\r\n\r\n");
        assertEquals(200, c.receive().status());
        CountDownLatch left = blockEventLoop(node);
        c.send(view("v", TIME)).close();
        awaitClock(node, node.clock().now() + 200);
        left.countDown();
        assertAskedOnlyThese(host, other);
    }

    /** What was kept in a pause comes from a client that may have left behind more that was not kept. */
    @Test
    void clientLeftInTheBadRequestPauseBehindMoreThanIsKeptIsNotSentFor() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        assertEquals("for u ", client(node).send(view("u", TIME)).receive().text());
        String bad = view("b", TIME).replace("units=1", "units=x");
        TestClient c = client(node).send(bad + bad);
        assertEquals(400, c.receive().status());
        assertEquals(400, c.receive().status());
        double over = node.clock().now() + 500;
        CountDownLatch left = blockEventLoop(node);
        c.send(views(250_000)).close();
        left.countDown();
        awaitClock(node, over);
        assertAskedOnlyThese(host, client(node));
    }

    /** A body on its way was passed on to its last byte, with which its attempt begins, before its client's end. */
    @Test
    void clientLeftRightBehindALongBodyIsNotSentFor() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        TestClient other = client(node);
        assertEquals("for u ", other.send(view("u", TIME)).receive().text());
        double rested = node.clock().now() + 50;
        awaitClock(node, rested);
        CountDownLatch left = blockEventLoop(node);
        client(node).send(TestRequests.order("o", "x".repeat(100_000))).close();
        left.countDown();
        assertNotNull(host.ended().poll(TIME, TimeUnit.MILLISECONDS)); // what had begun was given up
        assertAskedOnlyThese(host, other);
    }
}
