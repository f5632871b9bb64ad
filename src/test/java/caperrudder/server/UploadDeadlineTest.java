package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.TestRequests.headers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.server.runtime.ProtectionCounters.Reason;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A request with a long body that was written whole is answered in its client's time, whatever its host takes of it.
 * Guards against requests that were never answered since the gateway had stopped reading ahead of their last byte
 * (docs/incidents/upload-without-deadline.md).
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a write that nobody takes never returns
class UploadDeadlineTest extends GatewaySocketTest {
    private static final int EXPIRES_MS = 1500;
    private static final int LATE_MS = 500; // an answer that is later by so much is lost
    private static final int PIECE_BYTES = 64 * 1024;
    private static final int NEVER_READS = -1;

    /** A host that takes one piece each so many milliseconds, or nothing at all, and never answers. */
    private String stallingHost(int pauseMs) throws IOException {
        ServerSocket listener = closeAtEnd(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        List<Socket> accepted = new CopyOnWriteArrayList<>(); // open until the test ends
        closeAtEnd(() -> {
            for (Socket socket : accepted) {
                socket.close();
            }
        });
        startThread(() -> {
            while (true) {
                Socket socket = listener.accept();
                accepted.add(socket);
                if (pauseMs != NEVER_READS) {
                    startThread(() -> readSlowly(socket, pauseMs));
                }
            }
        });
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void readSlowly(Socket socket, int pauseMs) throws IOException, InterruptedException {
        while (socket.getInputStream().readNBytes(PIECE_BYTES).length > 0) {
            Thread.sleep(pauseMs); // what is tested is a pace
        }
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static String head(String id, String framing) {
        return "POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers(id, EXPIRES_MS) + "Idempotency-Key: k-" + id + "\r\n"
                + framing + "\r\n\r\n";
    }

    private static String request(String id, boolean chunked, int bodyBytes) {
        String body = "x".repeat(bodyBytes);
        return chunked
                ? head(id, "Transfer-Encoding: chunked") + Integer.toHexString(bodyBytes) + "\r\n" + body
                        + "\r\n0\r\n\r\n"
                : head(id, "Content-Length: " + bodyBytes) + body;
    }

    @ParameterizedTest
    @CsvSource({"-1,false,8", "-1,true,8", "-1,false,30", "400,false,8", "400,true,8", "1400,false,6"})
    void bodyThatItsHostTakesTooSlowlyIsRejectedInItsTime(int pauseMs, boolean chunked, int megabytes)
            throws Exception {
        GatewayServer gateway = gatewayListing(entry("h0", stallingHost(pauseMs), "ready"));
        TestClient client = client(gateway);
        BlockingQueue<HttpMessage> answers = new LinkedBlockingQueue<>();
        startThread(() -> answers.add(client.receive())); // not only once the rest has been written
        String request = request("u", chunked, megabytes << 20);
        long begun = System.nanoTime();
        startThread(() -> client.send(request)); // returns early or late, as the sockets hold it
        HttpMessage answer = answers.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertNotNull(answer, "no answer");
        assertEquals(429, answer.status(), "no host ran it, so a retry is harmless");
        assertTrue(tookMs < EXPIRES_MS + LATE_MS, "answered after " + tookMs + " ms");
        assertEquals(1, stalledUploads(gateway));
    }

    private static long stalledUploads(GatewayServer gateway) throws Exception {
        return gateway.loop()
                .submit(() -> gateway.protections().counts().get(Reason.UPLOAD_STALLED))
                .get();
    }

    /** The client's time begins with its last byte, however long it takes to write the others. */
    @Test
    void bodyThatIsWrittenForLongerThanItsClientWaitsIsServed() throws Exception {
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient client = client(gatewayFor(host));
        int pieces = 30;
        String piece = "y".repeat(10_000);
        client.send(head("s", "Content-Length: " + pieces * piece.length()));
        for (int i = 0; i < pieces; i++) {
            client.send(piece);
            Thread.sleep(2L * EXPIRES_MS / pieces); // what is tested is a pace
        }
        assertEquals("for s " + piece.repeat(pieces), client.receive().text());
    }

    /** The rest of a rejected body is read away, and its connection serves the next request. */
    @Test
    void connectionServesOnBehindARejectedBody() throws Exception {
        GatewayServer gateway = gatewayListing(entry("h0", stallingHost(NEVER_READS), "ready"));
        awaitWatches(1);
        TestClient client = client(gateway);
        assertEquals(429, client.send(request("u", false, 8 << 20)).receive().status());
        ScriptedServer live = host(GatewaySocketTest::echo);
        discovery.updates().add(DiscoveryAgent.list(2, true, entry("h1", live.address(), "ready")));
        awaitWatches(2);
        assertEquals(
                "for v ",
                client.send(TestRequests.view("v", TIMEOUT_MS)).receive().text());
        assertEquals(1, live.requests().size());
    }
}
