package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.bytes;
import static caperrudder.server.TestRequests.headers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * As long as no byte of a host's response has left for the client, the request gets a final answer however the host
 * stops. Guards against connections that were closed without a byte of an answer, since a response of which only the
 * head had come counted as begun (docs/incidents/no-byte-of-an-answer.md).
 */
class UnbegunResponseTest extends GatewaySocketTest {
    private static final int EXPIRES_MS = 2500;
    private static final int LATE_MS = 500; // an answer that is later by so much is lost
    private static final int PIECE_MS = 150; // less than the 250 ms after which a host that is silent has stopped
    private static final int SLOW_HEAD_PIECES = 8; // over a second, after which a response is passed on as it comes
    private static final int NO_END_PIECES = 40; // longer than the client waits
    private static final List<String> METHODS = List.of("GET /view/", "POST /order/", "POST /pay/");
    private static final List<String> FRAMINGS =
            List.of("Content-Length: 20\r\n", "Content-Length: 900000\r\n", "Transfer-Encoding: chunked\r\n", "");

    private enum End {
        HANG,
        CLOSE,
        RESET,
        /** The head never ends. */
        GO_ON,
        /** Where it comes in chunks, the length of the first chunk never ends; else as {@link #HANG}. */
        GO_ON_WITHOUT_BODY
    }

    /** Writes the head of a response line by line, and stops before its body. */
    private static void writeHead(Socket socket, String framing, End end) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes("HTTP/1.1 200 OK\r\n"));
        for (int i = 0; i < (end == End.GO_ON ? NO_END_PIECES : SLOW_HEAD_PIECES); i++) {
            Thread.sleep(PIECE_MS); // what is tested is a pace
            boolean endsHead = i == SLOW_HEAD_PIECES - 1;
            out.write(bytes("X-Padding: " + i + "\r\n" + (endsHead && end != End.GO_ON ? framing + "\r\n" : "")));
        }
        switch (end) {
            case CLOSE -> socket.close();
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case GO_ON_WITHOUT_BODY -> {
                for (int i = 0; framing.contains("chunked") && i < NO_END_PIECES; i++) {
                    out.write(bytes(i == 0 ? "5;" : "extension"));
                    Thread.sleep(PIECE_MS); // as above
                }
            }
            default -> {} // open until the test ends
        }
    }

    private GatewayServer gatewayFor(End end) throws IOException {
        ScriptedServer host = host((request, socket) -> {
            String framing = framingOf(request.header("X-Trace-Id"));
            writeHead(socket, framing, end);
        });
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        GatewayServer gateway =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace(
                                "\"classes\": [",
                                "\"classes\": [{\"name\": \"pay\", \"effect\": \"once\", \"goal_time_ms\": 20000,"
                                        + " \"hard_limit_ms\": 60000}, "));
        closeAtEnd(gateway::stop);
        return gateway;
    }

    /** The framing that the request's id, its number behind the method's, asks for. */
    private static String framingOf(String id) {
        return FRAMINGS.get(Integer.parseInt(id.substring(id.indexOf('-') + 1)));
    }

    private static String request(int method, int framing) {
        String id = method + "-" + framing;
        String start = METHODS.get(method) + id + " HTTP/1.1\r\nHost: h\r\n" + headers(id, EXPIRES_MS);
        return method == 0 ? start + "\r\n" : start + "Idempotency-Key: k" + id + "\r\nContent-Length: 1\r\n\r\nx";
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void eachRequestIsAnsweredHoweverItsHostStops(End end) throws Exception {
        GatewayServer gateway = gatewayFor(end);
        awaitWatches(1);
        Map<String, Future<HttpMessage>> answers = new TreeMap<>();
        ExecutorService readers = Executors.newCachedThreadPool();
        long begun = System.nanoTime();
        for (int method = 0; method < METHODS.size(); method++) {
            for (int framing = 0; framing < FRAMINGS.size(); framing++) {
                TestClient client = client(gateway).send(request(method, framing));
                answers.put(method + "-" + framing, readers.submit(client::receive));
            }
        }
        readers.shutdown();
        for (Map.Entry<String, Future<HttpMessage>> answer : answers.entrySet()) {
            HttpMessage message = answer.getValue().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertNotNull(message, answer.getKey() + " got no answer");
            // A response without a length that ends with its connection is whole.
            boolean whole = end == End.CLOSE && framingOf(answer.getKey()).isEmpty();
            boolean answered = whole || List.of(429, 502, 504).contains(message.status());
            assertTrue(answered, answer.getKey() + " got " + message.status());
        }
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(tookMs < EXPIRES_MS + LATE_MS, "answered after " + tookMs + " ms");
        assertEquals(0, openRequests(gateway));
    }

    private static long openRequests(GatewayServer gateway) throws Exception {
        return gateway.loop().submit(gateway.dispatcher()::waitingRequests).get();
    }

    /** Its connection serves on: the next response is not taken for the rest of the one that broke. */
    @Test
    void connectionServesOnBehindAResponseThatDidNotBegin() throws Exception {
        ScriptedServer host = host((request, socket) -> {
            if (request.start().contains("/pay/")) {
                writeHead(socket, FRAMINGS.get(0), End.HANG);
            } else {
                echo(request, socket);
            }
        });
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        GatewayServer gateway = TestGateways.start(TestGateways.config(
                        discovery.server().address(), "127.0.0.1:0")
                .replace("\"name\": \"order\", \"effect\": \"by_key\"", "\"name\": \"pay\", \"effect\": \"once\""));
        closeAtEnd(gateway::stop);
        awaitWatches(1);
        TestClient client = client(gateway);
        assertEquals(502, client.send(request(2, 0)).receive().status());
        assertEquals("for 0-0 ", client.send(request(0, 0)).receive().text());
    }

    /** A drain gives up what has not begun, and its client gets an answer. */
    @Test
    void responseThatHasNotBegunIsAnsweredAtTheEndOfADrain() throws Exception {
        GatewayServer gateway = gatewayFor(End.GO_ON);
        awaitWatches(1);
        TestClient client = client(gateway).send(request(2, 1));
        awaitOpenRequests(gateway, 1);
        Thread.sleep((long) PIECE_MS * SLOW_HEAD_PIECES); // until it could be passed on
        gateway.loop().submit(gateway::abandonOpenRequests).sync();
        HttpMessage answer = client.receive();
        assertNotNull(answer, "no answer");
        assertEquals(502, answer.status());
    }
}
