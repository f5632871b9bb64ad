package caperrudder.server;

import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.headers;
import static caperrudder.server.TestRequests.order;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies and answers too long to be held: they pass as they come, and no faster than the other side takes them. */
class StreamingTest extends GatewaySocketTest {
    private static final int LONG = 3 << 20;
    private static final int PIECE = 32 * 1024;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String ORDER = "POST /order/x HTTP/1.1\r\nHost: h\r\n"
            + headers("o", GatewaySocketTest.TIMEOUT_MS) + "Idempotency-Key: k\r\n";

    private static byte[] content(int length) {
        byte[] all = new byte[length];
        for (int i = 0; i < length; i++) {
            all[i] = (byte) (i * 31 + i / 251);
        }
        return all;
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** The head alone, for bodies that a test reads by itself. */
    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static String dechunked(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                line.append((char) b);
            }
            int size = Integer.parseInt(line.toString().trim(), 16);
            body.append(text(in.readNBytes(size)));
            in.readNBytes(2);
            if (size == 0) {
                return body.toString();
            }
        }
    }

    /** Each was cut off at 64 KiB once, in either direction. */
    @Test
    void longBodyAndLongResponsePassUnchangedAndConnectionsServeOn() throws Exception {
        byte[] answer = content(LONG);
        ScriptedServer host = host((m, s) -> {
            s.getOutputStream().write(bytes(OK + "Content-Length: " + answer.length + "\r\n\r\n"));
            s.getOutputStream().write(answer);
        });
        TestClient c = client(gatewayFor(host));
        for (String id : List.of("a", "b")) {
            HttpMessage got = c.send(order(id, text(content(LONG + 1)))).receive();
            assertEquals(200, got.status());
            assertEquals(text(answer), got.text());
            HttpMessage asked = host.next();
            assertEquals(text(content(LONG + 1)), asked.text());
            assertEquals(id, asked.header("X-Trace-Id"));
        }
        assertEquals(
                text(answer),
                c.send(view("v", GatewaySocketTest.TIMEOUT_MS)).receive().text());
    }

    /** With extensions and trailers, with no length at all, and in pieces. */
    @ParameterizedTest
    @ValueSource(strings = {"chunked", "close"})
    void responseOfUnknownLengthIsStreamedInChunks(String form) throws Exception {
        byte[] answer = content(10 * PIECE);
        ScriptedServer host = host((m, s) -> {
            boolean chunked = form.equals("chunked");
            s.getOutputStream().write(bytes(OK + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n")));
            for (int i = 0; i < answer.length; i += PIECE) {
                s.getOutputStream().write(chunked ? bytes("8000;a=b;c\r\n") : new byte[0]);
                s.getOutputStream().write(answer, i, PIECE);
                s.getOutputStream().write(chunked ? bytes("\r\n") : new byte[0]);
            }
            if (chunked) {
                s.getOutputStream().write(bytes("0\r\nX-After: all\r\n\r\n"));
            } else {
                s.close();
            }
        });
        TestClient c = client(gatewayFor(host)).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        String head = head(c.socket().getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200")
                && head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked"));
        assertEquals(text(answer), dechunked(c.socket().getInputStream()));
    }

    /** A short one whose end is the connection's was once taken for a broken one. */
    @Test
    void shortResponseEndedByItsConnectionIsServed() throws Exception {
        ScriptedServer host = host((m, s) -> {
            s.getOutputStream().write(bytes(OK + "\r\nall of it"));
            s.close();
        });
        assertEquals(
                "all of it",
                client(gatewayFor(host))
                        .send(view("v", GatewaySocketTest.TIMEOUT_MS))
                        .receive()
                        .text());
        assertEquals(1, host.requests().size());
    }

    /** Nothing holds it whole: who does not read stops the host from writing, and gets all of it later. */
    @Test
    void clientThatDoesNotReadStopsTheHost() throws Exception {
        AtomicLong written = new AtomicLong();
        byte[] piece = content(PIECE);
        int pieces = 1024; // 32 MB: far more than the sockets between hold
        ScriptedServer host = host((m, s) -> {
            s.getOutputStream().write(bytes(OK + "Content-Length: " + (long) pieces * PIECE + "\r\n\r\n"));
            for (int i = 0; i < pieces; i++) {
                s.getOutputStream().write(piece);
                written.addAndGet(PIECE);
            }
        });
        TestClient c = client(gatewayFor(host)).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        InputStream in = c.socket().getInputStream();
        assertTrue(head(in).startsWith("HTTP/1.1 200"));
        long before = -1;
        for (long now = written.get(); now != before; now = written.get()) { // until it stands still
            before = now;
            Thread.sleep(300);
        }
        assertTrue(written.get() < (long) pieces * PIECE, "the host wrote on");
        for (int i = 0; i < pieces; i++) {
            assertEquals(text(piece), text(in.readNBytes(PIECE)));
        }
        assertEquals(1, host.requests().size());
    }

    /** The client must be able to tell, and nobody may be asked again once a part has gone out. */
    @Test
    void brokenStreamedResponseEndsTheClientsConnectionInsideIt() throws Exception {
        ScriptedServer host = host((m, s) -> {
            s.getOutputStream().write(bytes(OK + "Content-Length: " + LONG + "\r\n\r\n"));
            s.getOutputStream().write(content(LONG / 2));
            s.close();
        });
        GatewayServer node = gatewayFor(host);
        TestClient c = client(node).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        assertTrue(head(c.socket().getInputStream()).startsWith("HTTP/1.1 200"));
        int got = 0;
        try {
            got = c.socket().getInputStream().readAllBytes().length;
        } catch (IOException reset) {
            got = -1;
        }
        assertTrue(got < LONG);
        assertEquals(1, host.requests().size());
        assertEquals(
                1,
                node.loop()
                        .submit(() -> node.counters().classes().get(0).errored())
                        .get());
    }

    /** Where only the connection's end tells that an answer is whole, a broken one ends by a reset. */
    @Test
    void brokenStreamedResponseOfUnknownLengthIsReset() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {
            s.getOutputStream().write(bytes(OK + "Transfer-Encoding: chunked\r\n\r\n40000\r\n"));
            s.getOutputStream().write(content(0x40000));
            begun.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            s.close();
        });
        TestClient c = client(gatewayFor(host));
        c.send(view("v", GatewaySocketTest.TIMEOUT_MS).replace("HTTP/1.1", "HTTP/1.0"));
        assertTrue(head(c.socket().getInputStream()).startsWith("HTTP/1.1 200"));
        assertEquals(0x40000, c.socket().getInputStream().readNBytes(0x40000).length);
        begun.countDown();
        assertThrows(IOException.class, () -> c.socket().getInputStream().read());
    }

    /** A length that is a lie once got the host's answer to the client, and nobody else was asked. */
    @Test
    void responseThatOnlyAnnouncesALengthIsRetriedOnAnotherHost() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        ScriptedServer host = host((m, s) -> {
            if (asked.incrementAndGet() > 1) {
                echo(m, s);
                return;
            }
            s.getOutputStream().write(bytes(OK + "Content-Length: " + LONG + "\r\n\r\nshort"));
        });
        assertEquals(
                "for o b",
                client(gatewayFor(host)).send(order("o", "b")).receive().text());
        assertEquals(2, asked.get());
    }

    /** In pieces for longer than a silence may last: it is slow, and it gives. */
    @Test
    void slowResponseIsNotCutOff() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        ScriptedServer host = host((m, s) -> {
            asked.incrementAndGet();
            s.getOutputStream().write(bytes(OK + "Content-Length: 20\r\n\r\n"));
            for (int i = 0; i < 20; i++) {
                Thread.sleep(100); // what is tested is a pace
                s.getOutputStream().write('a' + i);
            }
        });
        TestClient c = client(gatewayFor(host)).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        assertEquals("abcdefghijklmnopqrst", c.receive().text());
        assertEquals(1, asked.get());
    }

    /** It goes on before its end has come, and a refused one is read away without a host. */
    @Test
    void longBodyIsStreamedAsItComes() throws Exception {
        CountDownLatch arriving = new CountDownLatch(1);
        ScriptedServer host = host((m, s) -> {});
        byte[] body = content(LONG);
        ScriptedServer raw = rawHost(arriving);
        GatewayServer node = gatewayFor(raw);
        TestClient c = client(node)
                .send(ORDER + "Content-Length: " + LONG + "\r\n\r\n"
                        + text(body).substring(0, LONG / 2));
        assertTrue(arriving.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS), "nothing went on");
        assertEquals(0, node.metrics().openRequests());
        c.send(text(body).substring(LONG / 2));
        assertEquals(text(body), c.receive().text());
        assertEquals(0, host.requests().size());
    }

    /** A host that tells when the first bytes of a body have come, and gives the body back. */
    private ScriptedServer rawHost(CountDownLatch arriving) throws IOException {
        java.net.ServerSocket listener = new java.net.ServerSocket(0, 5, java.net.InetAddress.getLoopbackAddress());
        closeAtEnd(listener);
        Thread t = new Thread(() -> {
            try (Socket s = listener.accept()) {
                String head = head(s.getInputStream());
                int length = Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
                byte[] first = s.getInputStream().readNBytes(1000);
                arriving.countDown();
                byte[] rest = s.getInputStream().readNBytes(length - first.length);
                s.getOutputStream().write(bytes(OK + "Content-Length: " + length + "\r\n\r\n"));
                s.getOutputStream().write(first);
                s.getOutputStream().write(rest);
                s.getInputStream().read();
            } catch (IOException e) {
                // the test has ended
            }
        });
        t.setDaemon(true);
        t.start();
        return new ScriptedServer((m, s) -> {}) {
            @Override
            public String address() {
                return "127.0.0.1:" + listener.getLocalPort();
            }
        };
    }

    @Test
    void rejectedLongBodyIsReadAwayAndItsConnectionServesOn() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient c = client(gatewayFor(host));
        String tiny = order("t", text(content(LONG))).replace("X-Plan: free", "X-Plan: tiny");
        assertEquals(200, c.send(tiny).receive().status());
        assertEquals(
                429,
                c.send(tiny.replace("X-Trace-Id: t", "X-Trace-Id: u")).receive().status());
        assertEquals(
                "for w ",
                c.send(view("w", GatewaySocketTest.TIMEOUT_MS).replace("b4d65521", "b4d65522"))
                        .receive()
                        .text());
        assertEquals(2, host.requests().size());
    }

    /** Sent in part and kept nowhere, it can't be sent again, whatever its class allows. */
    @Test
    void longBodyIsNeverRetriedOncePartOfItWasSent() throws Exception {
        ScriptedServer host = host((m, s) ->
                s.getOutputStream().write(bytes("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")));
        TestClient c = client(gatewayFor(host)).send(order("o", text(content(LONG))));
        assertEquals(429, c.receive().status());
        assertEquals(1, host.requests().size());
    }

    /** No part has left for a host that takes no connection: another gets all of it. */
    @Test
    void longBodyIsRetriedWhenTheFirstHostRefusesConnections() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayListing(
                DiscoveryAgent.entry("dead", "127.0.0.1:1", "ready"),
                DiscoveryAgent.entry("live", host.address(), "ready"));
        for (int i = 0; i < 10; i++) {
            String body = text(content(200_000));
            assertEquals(
                    "for o" + i + " " + body,
                    client(node).send(order("o" + i, body)).receive().text());
        }
        assertEquals(10, host.requests().size());
    }

    @Test
    void clientThatStopsInsideALongBodyTimesOut() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient c =
                client(gatewayFor(host)).send(ORDER + "Content-Length: " + LONG + "\r\n\r\n" + text(content(LONG / 4)));
        assertEquals(408, c.receive().status());
        assertNull(c.receive());
        assertEquals(0, host.requests().size());
        assertNotNull(host.ended().poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void longBodyIsRequestedFromAClientThatExpectsContinue() throws Exception {
        TestClient c = client(gatewayFor(host(GatewaySocketTest::echo)));
        c.send(ORDER + "Content-Length: " + LONG + "\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(100, c.receive().status());
        assertEquals(
                "for o " + text(content(LONG)),
                c.send(text(content(LONG))).receive().text());
    }

    /** All that comes until the connection ends, but no more than the last part of it is kept. */
    private static String end(InputStream in) throws IOException {
        byte[] some = new byte[PIECE];
        String last = "";
        for (int n = in.read(some); n >= 0; n = in.read(some)) {
            last = (last + new String(some, 0, n, StandardCharsets.ISO_8859_1));
            last = last.substring(Math.max(0, last.length() - 100));
        }
        return last;
    }

    /** Passed on after a second, a short answer that went on and on was open for as long as its client stayed. */
    @ParameterizedTest
    @ValueSource(strings = {"1\r\nx\r\n", "400\r\n"})
    void endlessResponseEndsAtItsDeadlineOrTheMaximalLength(String chunk) throws Exception {
        boolean slow = chunk.startsWith("1");
        CountDownLatch never = new CountDownLatch(1);
        byte[] piece = bytes(slow ? chunk : (chunk + "y".repeat(1024) + "\r\n").repeat(64));
        ScriptedServer host = host((m, s) -> {
            s.getOutputStream().write(bytes(OK + "Transfer-Encoding: chunked\r\n\r\n"));
            while (!slow || !never.await(20, TimeUnit.MILLISECONDS)) {
                s.getOutputStream().write(piece);
            }
        });
        TestClient c = client(gatewayFor(host)).send(view("v", slow ? 2500 : GatewaySocketTest.TIMEOUT_MS));
        assertTrue(!end(c.socket().getInputStream()).endsWith("0\r\n\r\n"), "it looks whole");
        assertNotNull(host.ended().poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}
