package caperrudder.server;

import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.server.runtime.ProtectionCounters.Reason;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A client that takes its response slowly gets all of it. Guards against responses that were cut off because their
 * connection counted as idle once the gateway had queued them (docs/incidents/slow-clients-cut-off.md).
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowClientTest extends GatewaySocketTest {
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int ENDLESS_BYTES = 24 << 20; // more than all buffers hold
    private static final int PIECE_BYTES = 64 * 1024;
    private static final int KERNEL_QUIET_MS = 300; // without a byte, the kernel has passed on what it held
    private static final int EVICTIONS_MS = 6000; // an idle connection is closed in half of that
    private static final List<Integer> LEFT_IN_GATEWAY_BYTES = List.of(5_000, 20_000, 45_000);

    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /** Answers with as many bytes as the path tells. */
    private ScriptedServer longAnswers(Framing framing) throws IOException {
        return host((request, socket) -> {
            int length = Integer.parseInt(request.header("X-Trace-Id").substring(1));
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            switch (framing) {
                case LENGTH -> head.append("Content-Length: ").append(length).append("\r\n\r\n");
                case CHUNKED -> head.append("Transfer-Encoding: chunked\r\n\r\n");
                case CLOSE -> head.append("\r\n");
            }
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.writeBytes(TestRequests.bytes(head.toString()));
            byte[] body = new byte[length];
            if (framing == Framing.CHUNKED) {
                answer.writeBytes(TestRequests.bytes(Integer.toHexString(length) + "\r\n"));
            }
            answer.writeBytes(body);
            if (framing == Framing.CHUNKED) {
                answer.writeBytes(TestRequests.bytes("\r\n0\r\n\r\n"));
            }
            socket.getOutputStream().write(answer.toByteArray());
            if (framing == Framing.CLOSE) {
                socket.close();
            }
        });
    }

    private Socket ask(GatewayServer gateway, int length) throws IOException {
        Socket socket = closeAtEnd(new Socket());
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.port()));
        socket.setSoTimeout(TIMEOUT_MS);
        socket.getOutputStream().write(TestRequests.bytes(view("r" + length, TIMEOUT_MS)));
        return socket;
    }

    /** How much the kernel holds between a gateway and a client that takes nothing. */
    private int kernelBytes(GatewayServer gateway) throws Exception {
        Socket socket = ask(gateway, ENDLESS_BYTES);
        int before = -1;
        for (int held = 0; held != before; held = socket.getInputStream().available()) {
            before = held;
            Thread.sleep(KERNEL_QUIET_MS);
        }
        CountDownLatch released = blockEventLoop(gateway);
        socket.setSoTimeout(KERNEL_QUIET_MS);
        int bytes = countUntilQuiet(socket.getInputStream());
        released.countDown();
        socket.close();
        return bytes;
    }

    private static int countUntilQuiet(InputStream in) throws IOException {
        byte[] piece = new byte[PIECE_BYTES];
        int bytes = 0;
        try {
            for (int read = in.read(piece); read > 0; read = in.read(piece)) {
                bytes += read;
            }
        } catch (SocketTimeoutException e) {
            return bytes;
        }
        return bytes;
    }

    /** The host has ended its answer, and the gateway still holds a part of it that the kernel has no room for. */
    @ParameterizedTest
    @CsvSource({"LENGTH", "CHUNKED", "CLOSE"})
    void responseThatWaitsInTheGatewayIsNotCutOff(Framing framing) throws Exception {
        GatewayServer gateway = gatewayFor(longAnswers(framing));
        int kernelBytes = kernelBytes(gateway);
        List<Socket> clients = new ArrayList<>();
        for (int left : LEFT_IN_GATEWAY_BYTES) {
            clients.add(ask(gateway, kernelBytes + left));
        }
        Thread.sleep(EVICTIONS_MS); // they take nothing, for less than the 20 s after which they are given up
        assertAllWhole(clients, kernelBytes);
    }

    /** The same where the connection is to end with its response, as its client or a drain wants it. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void lastResponseOfAConnectionIsNotCutOff(boolean drains) throws Exception {
        GatewayServer gateway = gatewayFor(longAnswers(Framing.LENGTH));
        int kernelBytes = kernelBytes(gateway);
        List<Socket> clients = new ArrayList<>();
        for (int left : LEFT_IN_GATEWAY_BYTES) {
            clients.add(ask(gateway, kernelBytes + left));
        }
        awaitOpenRequests(gateway, 0);
        if (drains) {
            gateway.loop().submit(() -> gateway.drain().stopServing()).sync();
        }
        Thread.sleep(KERNEL_QUIET_MS);
        assertAllWhole(clients, kernelBytes);
        if (drains) {
            for (Socket socket : clients) {
                assertEquals(-1, socket.getInputStream().read(), "its connection ends behind the response");
            }
        }
    }

    private static void assertAllWhole(List<Socket> clients, int kernelBytes) throws Exception {
        ExecutorService readers = Executors.newFixedThreadPool(clients.size());
        List<Future<?>> read = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) {
            Socket client = clients.get(i);
            int length = kernelBytes + LEFT_IN_GATEWAY_BYTES.get(i);
            read.add(readers.submit(() -> {
                assertWhole(client, length);
                return null;
            }));
        }
        readers.shutdown();
        for (Future<?> one : read) {
            one.get();
        }
    }

    private static void assertWhole(Socket socket, int length) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append(line(in)).append("\r\n");
        }
        long taken = head.toString().toLowerCase(Locale.ROOT).contains("chunked")
                ? chunkBytes(in)
                : in.readNBytes(length).length;
        assertEquals(length, taken, "the response was cut off");
    }

    /** The bytes of all chunks up to the last one. */
    private static long chunkBytes(InputStream in) throws IOException {
        long bytes = 0;
        for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
            bytes += in.readNBytes(size).length;
            line(in);
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            assertTrue(b >= 0, "the response was cut off");
            line.append((char) b);
        }
        return line.toString().trim();
    }

    /** A client that takes nothing at all is given up, and its connection is not kept for good. */
    @Test
    void clientThatTakesNothingIsGivenUp() throws Exception {
        GatewayServer gateway = gatewayFor(longAnswers(Framing.LENGTH));
        int kernelBytes = kernelBytes(gateway);
        ask(gateway, kernelBytes + LEFT_IN_GATEWAY_BYTES.get(1));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (gateway.metrics().protections().get(Reason.STALLED_RESPONSE) == 0) {
            assertTrue(System.nanoTime() < end, "never given up");
            Thread.sleep(100);
        }
    }
}
