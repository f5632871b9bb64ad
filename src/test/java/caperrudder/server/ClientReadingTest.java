package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.headers;
import static caperrudder.server.TestRequests.order;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.server.http.MessageBodies;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send what can't be read, or nothing: each gets an error or a close, and no host hears of it. */
class ClientReadingTest extends GatewaySocketTest {
    private static final String ORDER = "POST /order/x HTTP/1.1\r\nHost: h\r\n"
            + headers("o", GatewaySocketTest.TIMEOUT_MS) + "Idempotency-Key: k\r\n";
    private static final String INNER = "GET /view/inner HTTP/1.1\r\n\r\n";

    /** Where two readers may see another end, a second request hides: none of these may go on, nor what follows. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
                "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
                "Content-Length: 3, 3\r\n\r\nabc",
                "Content-Length: +3\r\n\r\nabc",
                "Content-Length: 03\r\n\r\nabc",
                "Content-Length: -3\r\n\r\n",
                "Content-Length: 0x3\r\n\r\nabc",
                "Content-Length: 99999999999999999999\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                "X-Plan: tiny\r\nContent-Length: 0\r\n\r\n",
                "X-Quota: units=2,spread=1,first=0\r\nContent-Length: 0\r\n\r\n",
                "X-Trace-Id: other\r\nContent-Length: 0\r\n\r\n",
                "no colon here\r\nContent-Length: 0\r\n\r\n",
                "Content-Length : 3\r\n\r\nabc"
            })
    void requestOfAmbiguousLengthIsRejectedAndItsConnectionClosed(String rest) throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient c = client(gatewayFor(host)).send(ORDER + rest + INNER);
        HttpMessage answer = c.receive();
        assertEquals(400, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertNull(c.receive());
        assertEquals(List.of(), host.requests());
    }

    /** A request that is safe to repeat goes on without a length, so a host would read its body as another one. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 28\r\n\r\n" + INNER, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
    void getWithABodyIsNotForwarded(String rest) throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient c = client(gatewayFor(host));
        String plain = view("v", GatewaySocketTest.TIMEOUT_MS);
        assertEquals(
                400,
                c.send(plain.substring(0, plain.length() - 2) + rest).receive().status());
        assertEquals(200, c.send(plain).receive().status());
        assertEquals(1, host.requests().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "units=1|units=5",
                "units=1|units=-1",
                "units=1|units=0",
                "units=1|units=NaN",
                "units=1|units=1e0",
                "units=1|units=0x1p0",
                "units=1|units=Infinity",
                "units=1|units=1d",
                "units=1|units=1,units=2",
                "spread=1|spread=0",
                "spread=1|spread=2",
                "spread=1|spread=4294967297",
                "spread=1|spread=1.0",
                "first=0|first=1",
                "first=0|first=-1",
                "b4d65521|b4d6552",
                "00000000b4|+0000000b4",
                "00000000b4|00000002b4",
                "In-Ms: 1000|In-Ms: 1e3",
                "In-Ms: 1000|In-Ms: -5",
                "In-Ms: 1000|In-Ms: 0",
                "In-Ms: 1000|In-Ms: 99999999999",
                "X-Trace-Id: v|X-Trace-Id: a b",
                "/view/|view/",
                "HTTP/1.1|HTTP/3.7"
            })
    void impossibleValuesAreRejectedAndNotCounted(String good, String bad) throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        String plain = view("v", 1000);
        assertTrue(plain.contains(good));
        assertEquals(
                400,
                client(gatewayFor(host))
                        .send(plain.replace(good, bad))
                        .receive()
                        .status());
        assertEquals(List.of(), host.requests());
    }

    /** What its class allows bounds the time that is told to the host, whatever the client says. */
    @Test
    void timeToldToTheHostIsBoundedByTheClass() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        assertEquals(
                200,
                client(gatewayFor(host)).send(view("v", 999_999_999)).receive().status());
        assertTrue(Integer.parseInt(host.next().header("X-Expires-In-Ms")) <= 60_000);
    }

    /** Renamed and served, it would reach a host under the id that somebody else's request has. */
    @Test
    void idOfAnOpenRequestIsRejected() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {
            told.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        GatewayServer node = gatewayFor(host);
        TestClient first = client(node).send(view("same", GatewaySocketTest.TIMEOUT_MS));
        assertNotNull(host.next());
        assertEquals(
                400,
                client(node)
                        .send(view("same", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .status());
        told.countDown();
        assertEquals("for same ", first.receive().text());
        assertEquals(1, host.requests().size());
        assertEquals(
                "for same ",
                first.send(view("same", GatewaySocketTest.TIMEOUT_MS)).receive().text());
    }

    /** Before a byte of the body has come, and in its turn behind the answer that is still due. */
    @ParameterizedTest
    @ValueSource(
            strings = {"Content-Length: 60000000\r\n\r\n", "Content-Length: 60000000\r\nExpect: 100-continue\r\n\r\n"})
    void bodyAnnouncedTooLongIsRejectedInItsTurn(String rest) throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {
            sent.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        TestClient c = client(gatewayFor(host)).send(view("v", GatewaySocketTest.TIMEOUT_MS) + ORDER + rest);
        assertNotNull(host.next());
        sent.countDown();
        assertEquals("for v ", c.receive().text());
        assertEquals(413, c.receive().status());
        assertNull(c.receive());
        assertEquals(1, host.requests().size());
    }

    @Test
    void chunkedBodyIsRejectedOnceItIsTooLong() throws Exception {
        ScriptedServer host = host((m, s) -> s.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
        TestClient c = client(gatewayFor(host)).send(ORDER + "Transfer-Encoding: chunked\r\n\r\n");
        String chunk = "40000\r\n" + "x".repeat(0x40000) + "\r\n";
        for (int sent = 0; sent <= MessageBodies.MAX_BYTES; sent += 0x40000) {
            c.send(chunk);
        }
        assertEquals(413, c.receive().status());
    }

    @Test
    void clientThatExpectsContinueGetsIt() throws Exception {
        TestClient c = client(gatewayFor(host(GatewaySocketTest::echo)));
        c.send(ORDER + "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(100, c.receive().status());
        assertEquals("for o body", c.send("body").receive().text());
    }

    /** Neither silence nor half a request had an end; each is owed an error or a close. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /view/x HT",
                "GET /view/x HTTP/1.1\r\n",
                "GET /view/x HTTP/1.1\r\nX-A: b\r\nX-",
                "POST /order/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"
            })
    void incompleteRequestTimesOut(String half) throws Exception {
        GatewayServer node = gatewayFor(host(GatewaySocketTest::echo));
        TestClient c = client(node).send(half);
        TestClient used = client(node).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        assertEquals(200, used.receive().status());
        used.send(half);
        HttpMessage answer = c.receive();
        assertEquals(half.isEmpty() ? "closed" : "408", answer == null ? "closed" : "" + answer.status());
        if (!half.isEmpty()) {
            assertEquals(408, used.receive().status());
        }
    }

    @Test
    void headBeyondItsLimitIsRejected() throws Exception {
        TestClient c = client(gatewayFor(host(GatewaySocketTest::echo)));
        c.send("GET /view/x HTTP/1.1\r\n" + "X-A: bcdefghijklmnopqrstuvwxyz\r\n".repeat(300));
        assertEquals(431, c.receive().status());
    }

    /** Hundreds that say nothing must not take the place of one that does, nor of those that are in use. */
    @Test
    void silentCrowdEvictsNoUsedConnection() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"sockets\": 1024", "\"sockets\": 60"));
        closeAtEnd(node::stop);
        List<TestClient> regulars = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            regulars.add(client(node));
            assertEquals(
                    200,
                    regulars.get(i)
                            .send(view("r" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .status());
        }
        List<TestClient> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            silent.add(client(node));
        }
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    200,
                    regulars.get(i)
                            .send(view("s" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .status());
        }
        for (TestClient c : silent) {
            assertNull(closedOr(c));
        }
    }

    /** It has sent something lately; those who came after it and stopped give way first. */
    @Test
    void slowHeadIsKeptInACrowdThatStopped() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"sockets\": 1024", "\"sockets\": 60"));
        closeAtEnd(node::stop);
        TestClient regular = client(node);
        TestClient slow = client(node);
        String request = view("v", GatewaySocketTest.TIMEOUT_MS);
        for (int part = 0; part < 10; part++) {
            slow.send(request.substring(part * 10, part * 10 + 10));
            for (int i = 0; i < 8; i++) { // all of them are three times as many as fit
                sendOrBeClosed(client(node));
            }
            TestClient last = client(node); // it is taken after them, so no more of them wait to be taken
            assertEquals(
                    200,
                    last.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
                            .receive()
                            .status());
            last.close();
            assertEquals(
                    200,
                    regular.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
                            .receive()
                            .status());
        }
        assertEquals("for v ", slow.send(request.substring(100)).receive().text());
    }

    /** Many that ask for health on ever new connections once pushed out those that bring the requests. */
    @Test
    void crowdOfSingleUseConnectionsEvictsNoRegularOne() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"sockets\": 1024", "\"sockets\": 60"));
        closeAtEnd(node::stop);
        TestClient regular = client(node);
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    200,
                    regular.send(view("r" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .status());
        }
        for (int i = 0; i < 60; i++) {
            TestClient once = client(node);
            assertEquals(
                    200,
                    once.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
                            .receive()
                            .status());
            assertEquals(
                    200,
                    client(node)
                            .send(view("o" + i, GatewaySocketTest.TIMEOUT_MS))
                            .receive()
                            .status());
            if (i % 20 == 19) { // more came in between than fit
                assertEquals(
                        "for p" + i + " ",
                        regular.send(view("p" + i, GatewaySocketTest.TIMEOUT_MS))
                                .receive()
                                .text());
            }
        }
    }

    private static void sendOrBeClosed(TestClient c) {
        try {
            c.send("GET /vi");
        } catch (IOException closed) {
            // by then it had given way
        }
    }

    private static HttpMessage closedOr(TestClient c) {
        try {
            return c.receive();
        } catch (IOException reset) {
            return null;
        }
    }

    /** A flood of bad requests is answered whole, but read only now and then. */
    @Test
    void floodOfBadRequestsIsAllAnswered() throws Exception {
        TestClient c = client(gatewayFor(host(GatewaySocketTest::echo)));
        String bad = view("v", 1000).replace("units=1", "units=x");
        c.send(bad.repeat(40));
        for (int i = 0; i < 40; i++) {
            assertEquals(400, c.receive().status());
        }
        c.send(view("v", GatewaySocketTest.TIMEOUT_MS));
        assertEquals(200, c.receive().status());
        assertFalse(c.socket().isClosed());
    }

    @Test
    void keyedRequestKeepsItsBody() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient c = client(gatewayFor(host));
        c.send(ORDER + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertEquals("for o abcde", c.receive().text());
        assertEquals("5", host.next().header("Content-Length"));
        assertEquals("for p b", c.send(order("p", "b")).receive().text());
    }

    /** Bytes that can't be read behind a long body have their turn behind its answer. */
    @Test
    void garbageBehindALongBodyEndsTheConnectionAfterItsResponse() throws Exception {
        TestClient c = client(gatewayFor(host(GatewaySocketTest::echo)));
        String body = "x".repeat(100_000);
        c.send(order("o", body) + "noise\r\n\r\n");
        assertEquals("for o " + body, c.receive().text());
        assertEquals(400, c.receive().status());
        assertNull(c.receive());
    }
}
