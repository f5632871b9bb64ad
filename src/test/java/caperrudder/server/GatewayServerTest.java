package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.headers;
import static caperrudder.server.TestRequests.ok;
import static caperrudder.server.TestRequests.order;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.AttemptResult;
import caperrudder.api.ClusterHealth;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.Idempotency;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.server.config.ConfigurationException;
import caperrudder.server.config.GatewayConfig;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** A node between real sockets: each test is a failure that must not cost a request or break a rule. */
class GatewayServerTest extends GatewaySocketTest {
    private static final String DEAD = "127.0.0.1:1"; // below the ports that the system gives out

    @Test
    void requestAndResponsePassUnchanged() throws Exception {
        byte[] body = new byte[60_000];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 31);
        }
        ScriptedServer host = host((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
            s.getOutputStream().write(body);
        });
        TestClient c = client(gatewayFor(host));
        HttpMessage answer = c.send(order("id-1", "two copies")).receive();
        assertEquals(200, answer.status());
        assertArrayEquals(body, answer.body());
        HttpMessage sent = host.next();
        assertEquals("POST /order/x HTTP/1.1", sent.start());
        assertEquals("id-1", sent.header("X-Trace-Id"));
        assertEquals("key-id-1", sent.header("Idempotency-Key"));
        assertEquals("two copies", sent.text());
        assertTrue(Integer.parseInt(sent.header("X-Expires-In-Ms")) <= GatewaySocketTest.TIMEOUT_MS);
        assertEquals(
                200,
                c.send(view("id-2", GatewaySocketTest.TIMEOUT_MS)).receive().status());
        assertEquals("GET /view/id-2?z=3 HTTP/1.1", host.next().start());
    }

    @Test
    void requestIsRetriedWhenAHostRefusesConnections() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayListing(entry("dead", DEAD, "ready"), entry("live", host.address(), "ready"));
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    "for o" + i + " b",
                    client(node).send(order("o" + i, "b")).receive().text());
        }
        assertEquals(10, host.requests().size());
    }

    /** It may have run, so the client must not be told that a further try is harmless (rule 2). */
    @Test
    void keyedRequestFailsAndIsNotRejectedWhenItsConnectionsBreak() throws Exception {
        ScriptedServer host = host((m, s) -> s.close());
        int status = client(gatewayFor(host)).send(order("o", "b")).receive().status();
        assertEquals(502, status);
        assertEquals(3, host.requests().size());
    }

    @Test
    void requestThatNeverRanIsRejectedWithRetryAfter() throws Exception {
        ScriptedServer host = host((m, s) ->
                s.getOutputStream().write(bytes("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")));
        HttpMessage answer = client(gatewayFor(host)).send(order("o", "b")).receive();
        assertEquals(429, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
    }

    @Test
    void excessOverTheQuotaIsRejectedWithRetryAfter() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient c = client(gatewayFor(host));
        String tiny = view("t", GatewaySocketTest.TIMEOUT_MS).replace("X-Plan: free", "X-Plan: tiny");
        assertEquals(200, c.send(tiny).receive().status());
        HttpMessage answer = c.send(tiny).receive();
        assertEquals(429, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertEquals(1, host.requests().size());
    }

    /** Another plan in the same customer's name once opened new books, with a full store. */
    @Test
    void claimingAnotherPlanDoesNotRefillTheBucket() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient c = client(gatewayFor(host));
        String free = view("t", GatewaySocketTest.TIMEOUT_MS);
        String tiny = free.replace("X-Plan: free", "X-Plan: tiny");
        assertEquals(200, c.send(tiny).receive().status());
        for (String again : List.of(tiny, free, tiny)) {
            assertEquals(429, c.send(again).receive().status());
        }
        assertEquals(1, host.requests().size());
    }

    @Test
    void requestIsRetriedWhenItsResponseBreaksOff() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        ScriptedServer host = host((m, s) -> {
            if (asked.incrementAndGet() > 1) {
                echo(m, s);
                return;
            }
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
            s.close();
        });
        assertEquals(
                "for v ",
                client(gatewayFor(host))
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
        assertEquals(2, asked.get());
    }

    @Test
    void attemptIsCancelledWhenItsClientLeaves() throws Exception {
        ScriptedServer host = host((m, s) -> {});
        TestClient c = client(gatewayFor(host));
        c.send(view("v", GatewaySocketTest.TIMEOUT_MS));
        assertNotNull(host.next());
        c.close();
        assertNotNull(host.ended().poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** What comes after the client's time must reach nobody: not that client, nor the next request. */
    @Test
    void lateResponseReachesNoOtherRequest() throws Exception {
        CountDownLatch timeIsUp = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {
            if (m.header("X-Trace-Id").equals("slow")) {
                timeIsUp.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        TestClient c = client(gatewayFor(host));
        assertNotEquals(200, c.send(view("slow", 300)).receive().status());
        timeIsUp.countDown();
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    "for v" + i + " ",
                    c.send(view("v" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .text());
        }
    }

    @Test
    void badRequestsGetAnErrorAndReachNoHost() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        String good = view("v", 1000);
        for (String bad : List.of(
                good.replace("X-Plan: free\r\n", ""),
                good.replace("X-Plan: free", "X-Plan: none"),
                good.replace("/view/", "/nothing/"),
                good.replace("units=1", "units=x"),
                good.replace("b4d65521", "zzd65521"),
                good.replace("In-Ms: 1000", "In-Ms: soon"),
                good.replace("spread=1,", ""),
                good.replace("GET", "POST").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"),
                order("o", "b").replace("Idempotency-Key", "X-Other"),
                "nonsense\r\n\r\n")) {
            assertEquals(400, client(node).send(bad).receive().status(), bad);
        }
        assertEquals(
                404,
                client(node)
                        .send("GET /favicon.ico HTTP/1.1\r\nHost: h\r\n\r\n")
                        .receive()
                        .status());
        assertEquals(
                413,
                client(node)
                        .send("POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers("o", 1000)
                                + "Idempotency-Key: k\r\nContent-Length: 60000000\r\n\r\n")
                        .receive()
                        .status());
        assertEquals(
                200,
                client(node)
                        .send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
                        .receive()
                        .status());
        assertEquals(List.of(), host.requests());
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        TestClient c = client(gatewayFor(host(GatewaySocketTest::echo)));
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            all.append(view("p" + i, GatewaySocketTest.TIMEOUT_MS));
        }
        c.send(all.toString());
        for (int i = 0; i < 40; i++) {
            assertEquals("for p" + i + " ", c.receive().text());
        }
    }

    @Test
    void drainingHostGetsNothingNewAndAMovedOneIsFollowed() throws Exception {
        ScriptedServer old = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(old);
        TestClient c = client(node);
        assertEquals(
                200, c.send(view("a", GatewaySocketTest.TIMEOUT_MS)).receive().status());
        awaitWatches(1);
        discovery.updates().add(list(2, false, entry("h0", old.address(), "draining"), entry("h1", DEAD, "ready")));
        discovery.updates().add(list(3, false, entry("h1", fresh.address(), "ready")));
        awaitWatches(3);
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    200,
                    c.send(view("b" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .status());
        }
        assertEquals(1, old.requests().size());
        assertEquals(5, fresh.requests().size());
    }

    @Test
    void fullListRemovesTheHostsThatItDoesNotName() throws Exception {
        ScriptedServer old = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(old);
        awaitWatches(1);
        discovery.updates().add(list(9, true, entry("h1", fresh.address(), "ready")));
        awaitWatches(2);
        assertEquals(
                200,
                client(node)
                        .send(view("a", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .status());
        assertEquals(0, old.requests().size());
    }

    /** The first calls of a watch that is broken again and again, and still goes on from the version held. */
    @Test
    void brokenWatchGoesOnFromItsVersion() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        ScriptedServer broken = closeAtEnd(new ScriptedServer((m, s) -> {
            if (!m.start().contains("from=")) {
                s.getOutputStream().write(ok(list(7, true)));
            } else if (calls.incrementAndGet() < 4) {
                s.close();
            }
        }));
        closeAtEnd(TestGateways.start(TestGateways.config(broken.address(), "127.0.0.1:0"))::stop);
        for (int i = 0; i < 5; i++) {
            String call = broken.next().start();
            assertEquals(i > 0, call.contains("from=7&"), call);
        }
    }

    /** A release that killed most of a fleet had all of them ask for whole lists, and seven of ten got none for 10 s. */
    @Test
    void startPollsOnlyForChangesSinceTheKnownList() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> s.getOutputStream()
                .write(ok(
                        m.start().contains("from=41&")
                                ? list(43, false, entry("h2", host.address(), "ready"))
                                : "[]"))));
        String known = list(41, true, entry("h1", "127.0.0.1:1", "draining"));
        GatewayServer node = TestGateways.start(TestGateways.config(agent.address(), "127.0.0.1:0")
                .replace("{\"version\": 0, \"full\": true, \"servers\": []}", known));
        closeAtEnd(node::stop);
        assertTrue(agent.next().start().contains("from=41&"));
        assertTrue(agent.next().start().contains("from=43&"));
        assertEquals(
                200,
                client(node)
                        .send(view("a", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .status());
    }

    /** An agent that numbers anew may not know a version of before; then the whole list is due. */
    @Test
    void versionUnknownToDiscoveryIsNotPolledAgain() throws Exception {
        ScriptedServer agent = closeAtEnd(new ScriptedServer((m, s) -> s.getOutputStream()
                .write(
                        m.start().contains("from=41&")
                                ? bytes("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                                : ok(list(3, true, entry("h1", "127.0.0.1:1", "ready"))))));
        String known = list(41, true, entry("h1", "127.0.0.1:1", "ready"));
        closeAtEnd(TestGateways.start(TestGateways.config(agent.address(), "127.0.0.1:0")
                .replace("{\"version\": 0, \"full\": true, \"servers\": []}", known))::stop);
        assertTrue(agent.next().start().contains("from=41&"));
        assertFalse(agent.next().start().contains("from="));
        assertTrue(agent.next().start().contains("from=3&"));
    }

    private static long msToNext(ScriptedServer server) throws Exception {
        assertNotNull(server.next());
        long from = System.nanoTime();
        assertNotNull(server.next());
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
    }

    /** Of a node that has to ask a service for its lists; an agent nearby answers at no cost. */
    private static String asking(ScriptedServer discovery) {
        return TestGateways.config(discovery.address(), "127.0.0.1:0")
                .replace("\"az\": \"a\"", "\"az\": \"a\", \"discovery\": \"subscribe\"");
    }

    /** A fleet that starts together once asked together, twenty times a second each. */
    @Test
    void discoveryThatRejectsPollsIsPolledWithBackoff() throws Exception {
        ScriptedServer refusing = closeAtEnd(new ScriptedServer((m, s) -> s.close()));
        closeAtEnd(TestGateways.start(asking(refusing))::stop);
        for (int i = 0; i < 5; i++) {
            assertNotNull(refusing.next());
        }
        assertTrue(msToNext(refusing) >= 300); // 0.5 to 1.5 times 1 s; the answer's way aside
    }

    @Test
    void retryAfterOfDiscoveryIsKept() throws Exception {
        ScriptedServer busy = closeAtEnd(new ScriptedServer((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 503 Busy\r\nRetry-After: 1.0\r\nContent-Length: 0\r\n\r\n"));
            s.close();
        }));
        closeAtEnd(TestGateways.start(asking(busy))::stop);
        assertTrue(msToNext(busy) >= 300);
    }

    /** One entry that can't be read once threw the whole list away, and again each time it was asked for. */
    @Test
    void malformedEntryCostsOnlyItsOwnHost() throws Exception {
        ScriptedServer known = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(known);
        awaitWatches(1);
        discovery
                .updates()
                .add(list(
                        2,
                        false,
                        entry("h0", known.address(), "resting"),
                        entry("h7", "nowhere", "ready"),
                        "{}",
                        entry("h1", fresh.address(), "ready")));
        awaitWatches(2);
        TestClient c = client(node);
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    200,
                    c.send(view("a" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .status());
        }
        assertEquals(0, known.requests().size()); // what it wants is not known, so it gets nothing new
        assertEquals(5, fresh.requests().size());
    }

    /** The old agent may have an answer under way, whose hosts are those of before the move. */
    @Test
    void updateOfAnAgentThatWasLeftIsIgnored() throws Exception {
        ScriptedServer gone = host(GatewaySocketTest::echo);
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        CountDownLatch moved = new CountDownLatch(1);
        ScriptedServer old = closeAtEnd(new ScriptedServer((m, s) -> {
            moved.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(ok(list(900, true, entry("h0", gone.address(), "ready"))));
        }));
        GatewayServer node = TestGateways.start(TestGateways.config(old.address(), "127.0.0.1:0"));
        closeAtEnd(node::stop);
        assertNotNull(old.next());
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h1", fresh.address(), "ready"))));
        node.reload(
                TestGateways.configured(TestGateways.config(discovery.server().address(), "127.0.0.1:0")));
        awaitWatches(1);
        moved.countDown();
        assertNotNull(old.ended().poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    "for v" + i + " ",
                    client(node)
                            .send(view("v" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .text());
        }
        assertEquals(5, fresh.requests().size());
    }

    private static int freePort() throws IOException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    @Test
    void peersGetShortDatagramsAndStrangersAreIgnored() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int port = freePort();
            String mine = "127.0.0.1:" + port;
            ScriptedServer host = host(GatewaySocketTest::echo);
            discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
            GatewayServer node = TestGateways.start(
                    TestGateways.config(discovery.server().address(), mine, mine, "127.0.0.1:" + peer.getLocalPort()));
            closeAtEnd(node::stop);
            InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            for (DatagramSocket from : List.of(stranger, peer)) {
                for (int size : new int[] {0, 1, 40, 256, 257, 4000}) {
                    from.send(new DatagramPacket(new byte[size], size, to));
                }
            }
            // Several customers, since the node itself keeps the books of some of them.
            for (int i = 0; i < 8; i++) {
                String shared = view("s" + i, GatewaySocketTest.TIMEOUT_MS)
                        .replace("spread=1", "spread=2")
                        .replace("b4d65521", "b4d6552" + i);
                assertEquals(200, client(node).send(shared).receive().status());
            }
            peer.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
            DatagramPacket told = new DatagramPacket(new byte[1000], 1000);
            peer.receive(told);
            assertTrue(told.getLength() > 0 && told.getLength() <= 256);
        }
    }

    /** What waited in its socket while the loop was busy was once sent on as new, and answered to nobody. */
    @Test
    void requestReadTooLateByABusyEventLoopIsRejected() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayFor(host);
        TestClient client = client(node);
        assertEquals(
                200,
                client.send(view("r1", GatewaySocketTest.TIMEOUT_MS)).receive().status());
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        node.loop().execute(() -> {
            busy.countDown();
            try {
                sent.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
                double end = node.clock().now() + 1500;
                while (node.clock().now() < end) {
                    Thread.sleep(1);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(busy.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        client.send(view("r2", 2000));
        sent.countDown();
        HttpMessage answer = client.receive();
        assertEquals(429, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertEquals(1, host.requests().size());
        assertEquals(
                200,
                client.send(view("r3", GatewaySocketTest.TIMEOUT_MS)).receive().status());
    }

    /** A longer absence from a fleet that serves costs more than a slow start; a fleet at rest can wait. */
    @Test
    void hasHeardPeersOnceAPeerHasSent() throws Exception {
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int port = freePort();
            String mine = "127.0.0.1:" + port;
            discovery = closeAtEnd(new DiscoveryAgent(list(1, true)));
            GatewayServer node = TestGateways.start(
                    TestGateways.config(discovery.server().address(), mine, mine, "127.0.0.1:" + peer.getLocalPort()));
            closeAtEnd(node::stop);
            InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            stranger.send(new DatagramPacket(new byte[8], 8, to));
            assertFalse(node.hasHeardPeers());
            peer.send(new DatagramPacket(new byte[8], 8, to));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
            while (!node.hasHeardPeers()) {
                assertTrue(System.nanoTime() < end, "the peer was not heard");
                Thread.sleep(5);
            }
        }
    }

    @Test
    void requestsOpenAtADrainAreAnsweredAndTheirConnectionsClosed() throws Exception {
        CountDownLatch draining = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {
            draining.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        GatewayServer node = gatewayFor(host);
        TestClient busy = client(node).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        TestClient idle = client(node);
        assertNotNull(host.next());
        node.loop().submit(() -> node.drain().begin(false)).sync();
        TestClient late = client(node).send(view("w", GatewaySocketTest.TIMEOUT_MS)); // clients still come for a while
        assertNotNull(host.next());
        node.loop().submit(node.drain()::stopServing).sync();
        draining.countDown();
        for (TestClient c : List.of(busy, late)) {
            HttpMessage answer = c.receive();
            assertEquals(200, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertNull(c.receive());
        }
        assertNull(idle.receive());
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
    }

    /** Each once ended with its next answer: where gateways restart in turn, their clients then found none at all. */
    @Test
    void drainServesOnKeptConnections() throws Exception {
        GatewayServer node = gatewayFor(host(GatewaySocketTest::echo));
        TestClient kept = client(node);
        assertEquals(
                "for v ",
                kept.send(view("v", GatewaySocketTest.TIMEOUT_MS)).receive().text());
        node.loop().submit(() -> node.drain().begin(false)).sync();
        node.loop().submit(node::stopAccepting).sync().getNow().sync();
        for (String id : List.of("w", "x")) {
            assertEquals(
                    "for " + id + " ",
                    kept.send(view(id, GatewaySocketTest.TIMEOUT_MS)).receive().text());
        }
        node.loop().submit(node.drain()::stopServing).sync();
        assertNull(kept.receive());
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
    }

    /** Closing the listener resets who stands in its queue: they come while the loop is busy. */
    @Test
    void pendingConnectionsAreServedBeforeYieldingToASuccessor() throws Exception {
        GatewayServer node = gatewayFor(host(GatewaySocketTest::echo));
        CountDownLatch came = new CountDownLatch(1);
        node.loop().execute(() -> {
            try {
                came.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<TestClient> waiting = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            waiting.add(client(node).send(view("w" + i, GatewaySocketTest.TIMEOUT_MS)));
        }
        node.loop().execute(() -> node.drain().begin(true));
        came.countDown();
        for (TestClient c : waiting) {
            HttpMessage answer = c.receive();
            assertEquals(200, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertNull(c.receive());
        }
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
    }

    /** The next process of a gateway takes clients before the last one leaves. */
    @Test
    void twoGatewaysAcceptClientsAtOneAddress() throws Exception {
        GatewayServer first = gatewayFor(host(GatewaySocketTest::echo));
        GatewayServer second =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + first.port() + "\""));
        closeAtEnd(second::stop);
        first.loop().submit(() -> first.drain().begin(true)).sync();
        assertTrue(first.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
        assertEquals(
                "for v ",
                client(second)
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
    }

    private static RequestClass timed(double aimMs, double clientTimeoutMs) {
        return new RequestClass(
                "c" + aimMs, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, aimMs, clientTimeoutMs, 1, 0, false);
    }

    /** What is served late in a drain still has its wanted time before all ends, and that comes before the kill. */
    @Test
    void drainTimingsLeaveTimeBeforeTheKill() {
        assertEquals(new DrainTimings(500, 2401, 2926), DrainTimings.of(List.of(timed(399, 1754), timed(525, 2626))));
        assertEquals(new DrainTimings(500, 1000, 3000), DrainTimings.of(List.of(timed(2000, 7500))));
        assertEquals(new DrainTimings(500, 780, 900), DrainTimings.of(List.of(timed(120, 600))));
        assertEquals(new DrainTimings(500, 500, 500), DrainTimings.of(List.of(timed(150, 150))));
    }

    /** Nothing may be left open when the process is killed: what still runs then is failed or refused before. */
    @Test
    void requestWithoutAResponseFailsAtTheEndOfADrain() throws Exception {
        ScriptedServer host = host((m, s) -> {});
        GatewayServer node = gatewayFor(host);
        TestClient c = client(node).send(order("o", "b"));
        assertNotNull(host.next());
        node.loop().submit(() -> node.drain().begin(false)).sync();
        assertEquals(502, c.receive().status());
        assertTrue(node.drain().awaitDrained(GatewaySocketTest.TIMEOUT_MS));
    }

    /** A module that does only what a test says of a request. */
    private record Scripted(BiConsumer<Double, Request> script, Consumer<AttemptResult> ends) implements PolicyEvents {
        Scripted(BiConsumer<Double, Request> script) {
            this(script, r -> {});
        }

        @Override
        public void start(double now, Settings settings) {}

        @Override
        public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {}

        @Override
        public void requestReceived(double now, Request r) {
            script.accept(now, r);
        }

        @Override
        public void requestBodyCompleted(double now, String id, double deadlineAtMs) {}

        @Override
        public void requestNotReplayable(double now, String id) {}

        @Override
        public void responseStarted(double now, String id, int attempt) {}

        @Override
        public void attemptEnded(double now, AttemptResult r) {
            ends.accept(r);
        }

        @Override
        public void clientDisconnected(double now, String id) {}

        @Override
        public void timerFired(double now, String token) {}

        @Override
        public void healthCheckEnded(double now, String host, Outcome outcome, double latencyMs, double[] report) {}

        @Override
        public void peerMessageReceived(double now, int peer, byte[] data) {}

        @Override
        public void counterCallEnded(double now, String counter, Outcome outcome, double total) {}

        @Override
        public void restoreSnapshot(double now, PolicySnapshot books) {}

        @Override
        public PolicySnapshot takeSnapshot(double now) {
            return new PolicySnapshot(now, 1, List.of(), List.of(), List.of());
        }

        @Override
        public ClusterHealth clusterHealth(double now) {
            return new ClusterHealth(0, 0);
        }
    }

    private GatewayServer scripted(Function<PolicyActions, PolicyEvents> module) throws IOException {
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true)));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0"), module);
        closeAtEnd(node::stop);
        return node;
    }

    /** Without it the module never learns what the other gateways let in, and every part stays the even one. */
    @Test
    void meteredUseInAResponseReachesThePolicy() throws Exception {
        Map<String, String> answers = new LinkedHashMap<>();
        answers.put("told", "HTTP/1.1 200 OK\r\nX-Quota-Used: 86\r\n");
        answers.put("idle", "HTTP/1.1 200 OK\r\nX-Quota-Used: 0\r\n");
        answers.put("error", "HTTP/1.1 500 Broken\r\nX-Quota-Used: 120\r\n");
        answers.put("none", "HTTP/1.1 200 OK\r\n");
        answers.put("noise", "HTTP/1.1 200 OK\r\nX-Quota-Used: -3\r\n");
        ScriptedServer host = host((m, s) ->
                s.getOutputStream().write(bytes(answers.get(m.header("X-Trace-Id")) + "Content-Length: 0\r\n\r\n")));
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        BlockingQueue<AttemptResult> ended = new LinkedBlockingQueue<>();
        GatewayServer node = TestGateways.start(
                TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"servers\": []", "\"servers\": [" + entry("h0", host.address(), "ready") + "]"),
                act -> new Scripted((now, r) -> act.sendAttempt(r.id(), "h0", 0), r -> {
                    ended.add(r);
                    if (!r.requestClosed()) {
                        act.fail(r.requestId());
                    }
                }));
        closeAtEnd(node::stop);
        TestClient c = client(node);
        List<Integer> told = new ArrayList<>();
        for (String id : answers.keySet()) {
            assertNotNull(c.send(view(id, GatewaySocketTest.TIMEOUT_MS)).receive());
            told.add(ended.poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .quotaUsedPercentPlusOne());
        }
        assertEquals(List.of(87, 1, 121, 0, 0), told);
    }

    /** What the module forgets or breaks on is failed, not refused: it may have run (rules 1 and 2). */
    @Test
    void requestIsAnsweredWhenThePolicyThrows() throws Exception {
        GatewayServer node = scripted(act -> new Scripted((now, r) -> {
            if (r.requestClass().equals("view")) {
                throw new IllegalStateException("made up by the test");
            }
            act.reject(r.id(), 100);
        }));
        TestClient c = client(node);
        assertEquals(504, c.send(view("v", 300)).receive().status());
        assertEquals(429, c.send(order("o", "b")).receive().status());
    }

    /** Only the first final answer goes out; a second one would be taken for the next request's. */
    @Test
    void onlyTheFirstAnswerOfThePolicyIsSent() throws Exception {
        GatewayServer node = scripted(act -> new Scripted((now, r) -> {
            if (r.requestClass().equals("view")) {
                act.fail(r.id());
            }
            act.reject(r.id(), 100);
            act.reject(r.id(), 100);
        }));
        TestClient c = client(node);
        assertEquals(
                502, c.send(view("v", GatewaySocketTest.TIMEOUT_MS)).receive().status());
        assertEquals(429, c.send(order("o", "b")).receive().status());
        assertEquals(
                502, c.send(view("w", GatewaySocketTest.TIMEOUT_MS)).receive().status());
    }

    /** Idle clients may not use up the descriptors that others need, nor may a busy one be cut off for them. */
    @Test
    void idleConnectionsAreEvictedBeforeDescriptorsRunOut() throws Exception {
        CountDownLatch crowded = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {
            if (m.header("X-Trace-Id").equals("held")) {
                crowded.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"sockets\": 1024", "\"sockets\": 20"));
        closeAtEnd(node::stop);
        TestClient held = client(node).send(view("held", GatewaySocketTest.TIMEOUT_MS));
        assertNotNull(host.next());
        TestClient first = client(node);
        for (int i = 0; i < 30; i++) {
            assertEquals(
                    "for v" + i + " ",
                    client(node)
                            .send(view("v" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .text());
        }
        assertNull(first.receive());
        crowded.countDown();
        assertEquals("for held ", held.receive().text());
    }

    @Test
    void badConfigurationIsToldInOneLine() {
        for (String bad : List.of(
                "[]",
                "{}",
                TestGateways.config("nowhere", "127.0.0.1:0"),
                TestGateways.config("127.0.0.1:1", "127.0.0.1:0").replace("by_key", "by_luck"))) {
            Exception e = assertThrows(RuntimeException.class, () -> TestGateways.configured(bad));
            assertEquals(1, e.getMessage().lines().count());
        }
        ConfigurationException missing =
                assertThrows(ConfigurationException.class, () -> GatewayConfig.readWithoutEndpoints("/no/such/file"));
        assertEquals(1, missing.getMessage().lines().count());
    }
}
