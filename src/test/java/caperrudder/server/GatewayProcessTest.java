package caperrudder.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as the platform starts and ends it. */
class GatewayProcessTest {
    private static final int DESCRIPTORS = 100;
    private static final int LIMIT = 128; // which the configuration tells as well

    @TempDir
    private Path dir;

    private Process process;
    private int port;

    @AfterEach
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String config) throws IOException {
        process = launch(config, "log");
    }

    private Process launch(String config, String log, String... options) throws IOException {
        return launch(config, log, DESCRIPTORS, options);
    }

    private Process launch(String config, String log, int descriptors, String... options) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(
                List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"", java, "-XX:+UseSerialGC"));
        command.addAll(List.of(options));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "caperrudder.Main", "serve"));
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().put("NODE_CONFIG", file.toString());
        b.environment()
                .put("TMPDIR", Files.createDirectories(dir.resolve("shared")).toString());
        return b.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(dir.resolve(log).toFile())
                .start();
    }

    private void startServing() throws Exception {
        choosePort();
        start(config("127.0.0.1:1"));
        awaitReady();
    }

    private void choosePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    private String config(String discovery) {
        return TestGateways.config(discovery, "127.0.0.1:0")
                .replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc");
    }

    private void hangUp(String config) throws Exception {
        Files.writeString(dir.resolve("config.json"), config);
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private void awaitLog(String part) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (!Files.readString(dir.resolve("log")).contains(part)) {
            assertTrue(process.isAlive() && System.nanoTime() < end, "not logged: " + part);
            Thread.sleep(20);
        }
    }

    private void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (!ready()) {
            assertTrue(process.isAlive() && System.nanoTime() < end, "not ready");
            Thread.sleep(20);
        }
    }

    private boolean ready() {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
            s.getOutputStream().write(TestRequests.bytes("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
            HttpMessage answer = HttpMessage.read(s.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The event loop once died of this: the warning that no descriptor was left itself needed one. */
    @Test
    void servesAgainAfterDescriptorsWereExhausted() throws Exception {
        startServing();
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 2 * DESCRIPTORS; i++) {
            crowd.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        awaitLog("Too many open files");
        for (Socket s : crowd) {
            s.close();
        }
        awaitReady();
    }

    /** Clients that say nothing, ever new ones; the oldest leave where there are many. */
    private void crowd(int second, AtomicBoolean over, CountDownLatch many) {
        ArrayDeque<Socket> crowd = new ArrayDeque<>();
        int came = 0;
        try {
            while (!over.get()) {
                try {
                    crowd.add(new Socket(InetAddress.getLoopbackAddress(), came % 10 == 0 ? second : port));
                } catch (IOException refused) {
                    continue;
                }
                if (++came == 10 * LIMIT) {
                    many.countDown();
                }
                if (crowd.size() > 2 * LIMIT) {
                    crowd.remove().close();
                }
            }
            for (Socket s : crowd) {
                s.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Clients in use, hosts and a crowd have all that they may, and each call to discovery takes a descriptor anew. */
    @Test
    void discoveryAndHostsAreReachedWhileClientsHoldAllTheirDescriptors() throws Exception {
        choosePort();
        int second = port;
        choosePort();
        AtomicBoolean up = new AtomicBoolean();
        AtomicBoolean over = new AtomicBoolean();
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch others = new CountDownLatch(1);
        CountDownLatch heard = new CountDownLatch(1);
        CountDownLatch many = new CountDownLatch(1);
        Semaphore held = new Semaphore(0);
        List<Socket> busy = new ArrayList<>();
        try (ScriptedServer old = new ScriptedServer((m, s) -> {
                    held.release();
                    (m.header("X-Trace-Id").equals("b0") ? first : others).await();
                    GatewaySocketTest.echo(m, s);
                });
                ScriptedServer fresh = new ScriptedServer(GatewaySocketTest::echo);
                ScriptedServer discovery = new ScriptedServer((m, s) -> {
                    if (!up.get()) {
                        s.close();
                    } else if (m.start().contains("from=41&")) {
                        s.getOutputStream()
                                .write(TestRequests.ok(DiscoveryAgent.list(
                                        42, false, asHosts("old", old, "draining"), asHosts("fresh", fresh, "ready"))));
                    } else {
                        heard.countDown();
                    }
                })) {
            process = launch(
                    config(discovery.address())
                            .replace("\"seed\"", "\"admin_addr\": \"127.0.0.1:" + second + "\", \"seed\"")
                            .replace("\"sockets\": 1024", "\"sockets\": " + LIMIT)
                            .replace(
                                    "{\"version\": 0, \"full\": true, \"servers\": []}",
                                    DiscoveryAgent.list(41, true, asHosts("old", old, "ready"))),
                    "log",
                    LIMIT);
            awaitReady();
            for (int i = 0; i < LIMIT / 4; i++) {
                Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
                s.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
                busy.add(s);
                s.getOutputStream().write(TestRequests.bytes(TestRequests.view("b" + i, GatewaySocketTest.TIMEOUT_MS)));
                assertTrue(held.tryAcquire(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS), "not sent on: " + i);
            }
            busy.get(0)
                    .getOutputStream()
                    .write(TestRequests.bytes(TestRequests.view("after", GatewaySocketTest.TIMEOUT_MS)));
            Thread crowd = new Thread(() -> crowd(second, over, many));
            crowd.start();
            assertTrue(many.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            up.set(true);
            assertTrue(heard.await(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the list was not read");
            first.countDown();
            assertEquals(
                    "for b0 ", HttpMessage.read(busy.get(0).getInputStream()).text());
            assertEquals(
                    "for after ", HttpMessage.read(busy.get(0).getInputStream()).text());
            assertEquals(
                    1,
                    fresh.requests().stream()
                            .filter(m -> "after".equals(m.header("X-Trace-Id")))
                            .count());
            Socket quiet = new Socket(InetAddress.getLoopbackAddress(), port);
            quiet.setSoTimeout(3000);
            assertEquals(-1, endOf(quiet));
            over.set(true);
            crowd.join();
            assertFalse(Files.readString(dir.resolve("log")).contains("Too many open files"));
        } finally {
            over.set(true);
            others.countDown();
            first.countDown();
            for (Socket s : busy) {
                s.close();
            }
        }
    }

    /** One server under the names of several hosts, each of which is sent what one host bears. */
    private static String asHosts(String name, ScriptedServer server, String state) {
        return IntStream.range(0, 8)
                .mapToObj(i -> DiscoveryAgent.entry(name + i, server.address(), state))
                .collect(Collectors.joining(","));
    }

    private static int endOf(Socket s) throws IOException {
        try {
            return s.getInputStream().read();
        } catch (SocketException reset) {
            return -1;
        }
    }

    /** Else its first clients meet interpreted code, which on a part of a core serves half of them. */
    @Test
    void readyOnlyAfterTheWarmUp() throws Exception {
        startServing();
        assertTrue(Files.readString(dir.resolve("log")).contains("INFO gateway: warmed up answers="));
    }

    @Test
    void sigtermExitsWithZero() throws Exception {
        startServing();
        process.destroy();
        assertTrue(process.waitFor(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Between its first call for the list, just before it listens, and its first client, it once died of the signal. */
    @Test
    void sigtermJustBeforeListeningExitsWithZero() throws Exception {
        try (ScriptedServer silent = new ScriptedServer((m, s) -> {})) {
            choosePort();
            start(config(silent.address()));
            assertTrue(silent.next() != null);
            process.destroy();
            assertTrue(process.waitFor(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    /** SIGHUP once ended the process; each new file moves discovery, and one that can't be read moves nothing. */
    @Test
    void sighupFollowsDiscoveryAndSigtermStillExitsWithZero() throws Exception {
        try (DiscoveryAgent first = new DiscoveryAgent(DiscoveryAgent.list(7, true));
                DiscoveryAgent second = new DiscoveryAgent(DiscoveryAgent.list(3, true))) {
            startServing();
            for (DiscoveryAgent next : List.of(first, second, first)) {
                hangUp("{\"name\": \"n0\"}");
                awaitLog("WARN config: reload failed, configuration unchanged");
                assertTrue(ready());
                hangUp(config(next.server().address()));
                assertEquals("GET /v1/servers HTTP/1.1", next.server().next().start());
                assertTrue(next.server().next().start().contains(next == first ? "from=7&" : "from=3&"));
            }
            process.destroy();
            assertTrue(process.waitFor(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    private static void awaitLine(Path log, String part) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (!Files.exists(log) || !Files.readString(log).contains(part)) {
            assertTrue(System.nanoTime() < end, "not logged: " + part);
            Thread.sleep(20);
        }
    }

    /** Each once found the address in use. The first file is torn, and a second SIGTERM changes nothing. */
    @Test
    void eachSuccessorTakesOverTheAddressAndTheSnapshot() throws Exception {
        Path shared = Files.createDirectories(dir.resolve("shared"));
        Files.write(shared.resolve("caperrudder-books"), new byte[] {1, 2, 3});
        Files.writeString(shared.resolve("caperrudder-claim"), "1 12");
        startServing();
        for (String log : List.of("second", "third")) {
            Process old = process;
            Files.deleteIfExists(shared.resolve("caperrudder-books"));
            process = launch(config("127.0.0.1:1"), log);
            awaitLine(dir.resolve(log), "INFO gateway: restored snapshot of predecessor customers=");
            awaitLine(shared.resolve("caperrudder-claim"), process.pid() + " true");
            old.destroy();
            old.destroy();
            assertTrue(old.waitFor(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, old.exitValue());
            assertTrue(ready());
        }
        awaitLine(dir.resolve("log"), "INFO gateway: yielding to successor process");
        awaitLine(dir.resolve("second"), "INFO gateway: yielding to successor process");
        assertFalse(Files.readString(dir.resolve("log")).contains("restored snapshot"));
    }

    private static String longList(int version, int hosts) {
        String[] entries = new String[hosts];
        for (int i = 0; i < hosts; i++) {
            entries[i] = DiscoveryAgent.entry("host-" + i, "127.0.0.2:" + (1 + i), "ready");
        }
        return DiscoveryAgent.list(version, true, entries);
    }

    private String config(String discovery, String known) {
        return config(discovery).replace("{\"version\": 0, \"full\": true, \"servers\": []}", known);
    }

    private long refusals() throws IOException {
        return Files.readAllLines(dir.resolve("log")).stream()
                .filter(l -> l.contains("rejected"))
                .count();
    }

    private void assertServes(String id) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
            s.getOutputStream().write(TestRequests.bytes(TestRequests.view(id, GatewaySocketTest.TIMEOUT_MS)));
            assertEquals(200, HttpMessage.read(s.getInputStream()).status());
        }
    }

    /** Such a list was asked for six times a second, or filled the heap; the last good one has to serve on. */
    @Test
    void listBeyondMemoryIsRejectedWithOneLogLineAndSeldomPolled() throws Exception {
        byte[] beyond = TestRequests.ok(longList(2, 20_000));
        try (ScriptedServer host =
                        new ScriptedServer((m, s) -> s.getOutputStream().write(TestRequests.ok("ok")));
                ScriptedServer agent = new ScriptedServer((m, s) -> s.getOutputStream()
                        .write(
                                m.start().contains("from=")
                                        ? beyond
                                        : TestRequests.ok(DiscoveryAgent.list(
                                                1, true, DiscoveryAgent.entry("h0", host.address(), "ready")))))) {
            choosePort();
            process = launch(config(agent.address()), "log", "-Xmx24m");
            assertEquals("GET /v1/servers HTTP/1.1", agent.next().start());
            long from = 0;
            for (int i = 0; i < 4; i++) {
                assertTrue(agent.next().start().contains("from=1&"));
                if (i > 0) {
                    assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) > 500, "0.5 to 1.5 times 2 s");
                }
                from = System.nanoTime();
            }
            awaitReady();
            assertServes("v");
            assertEquals(1, refusals());
            awaitLog("WARN discovery: poll failed reason=\"a list of ");
        }
    }

    /** The main thread once ended with the heap full, and the process neither served nor ended. */
    @Test
    void knownEndpointsBeyondMemoryAreRejectedWithOneLogLineAndTheWholeListIsPolled() throws Exception {
        try (ScriptedServer host =
                        new ScriptedServer((m, s) -> s.getOutputStream().write(TestRequests.ok("ok")));
                DiscoveryAgent agent = new DiscoveryAgent(
                        DiscoveryAgent.list(1, true, DiscoveryAgent.entry("h0", host.address(), "ready")))) {
            choosePort();
            process = launch(config(agent.server().address(), longList(41, 40_000)), "log", "-Xmx24m");
            awaitReady();
            assertEquals("GET /v1/servers HTTP/1.1", agent.server().next().start());
            assertServes("v");
            assertEquals(1, refusals());
            awaitLog("WARN config: endpoint list in 'known' rejected bytes=");
        }
    }

    /** It waits for the first list for a moment only, and what its warm-up does has nothing to do with the fleet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void longKnownListWithoutAnAgentDelaysTheStartByAFewPollsAndTheWarmUp(boolean silent) throws Exception {
        try (ScriptedServer agent = new ScriptedServer((m, s) -> {})) {
            choosePort();
            process = launch(config(silent ? agent.address() : "127.0.0.1:1", longList(41, 10_000)), "log", "-Xmx48m");
            awaitReady();
            int calls = agent.requests().size();
            assertTrue(calls <= 3, calls + " calls, of which the second comes after 1 s and more each 0.2 s");
            String warm = Files.readAllLines(dir.resolve("log")).stream()
                    .filter(l -> l.startsWith("INFO gateway: warmed up answers="))
                    .findFirst()
                    .orElseThrow();
            assertTrue(Integer.parseInt(warm.substring(warm.indexOf('=') + 1)) <= StartupWarmUp.ENOUGH_ANSWERS, warm);
        }
    }

    @Test
    void badConfigurationExitsWithOneLogLine() throws Exception {
        start("{\"name\": \"n0\"}");
        assertTrue(process.waitFor(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, process.exitValue());
        assertEquals(1, Files.readAllLines(dir.resolve("log")).size());
    }
}
