package caperrudder.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway in a process of its own with the memory that {@code run} of the deploy file grants. */
final class GatewayInSmallMemory implements Closeable {
    private static final List<String> MEMORY = List.of(
            "-XX:+UseSerialGC", "-Xms24m", "-Xmx48m", "-XX:MaxDirectMemorySize=16m", "-XX:+ExitOnOutOfMemoryError");

    private final int port;
    private final int adminPort;
    private final Path log;
    private final Process process;

    GatewayInSmallMemory(Path folder, String discovery) throws IOException, InterruptedException {
        port = freePort();
        adminPort = freePort();
        log = folder.resolve("log");
        String config = TestGateways.config(discovery, "127.0.0.1:0")
                .replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(MEMORY);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "caperrudder.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment()
                .put(
                        "NODE_CONFIG",
                        Files.writeString(folder.resolve("config.json"), config).toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().put("NODE_ADMIN_ADDR", "127.0.0.1:" + adminPort);
        process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(log.toFile())
                .start();
        awaitReady();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (!answersHealthChecks()) {
            if (!isAlive() || System.nanoTime() > end) {
                throw new IOException("not ready: " + log());
            }
            Thread.sleep(20);
        }
    }

    private boolean answersHealthChecks() {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(TestRequests.bytes("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
            HttpMessage answer = HttpMessage.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** A client's connection; the caller closes it. */
    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
        return socket;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** What it has logged. */
    String log() throws IOException {
        return Files.readString(log);
    }

    /** The metrics that are not 0, for the message of a check that fails. */
    String metrics() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), adminPort)) {
            socket.getOutputStream().write(TestRequests.bytes("GET /api/telemetry HTTP/1.1\r\nHost: a\r\n\r\n"));
            return HttpMessage.read(socket.getInputStream())
                    .text()
                    .lines()
                    .filter(line -> !line.startsWith("#") && !line.endsWith(" 0"))
                    .toList()
                    .toString();
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
