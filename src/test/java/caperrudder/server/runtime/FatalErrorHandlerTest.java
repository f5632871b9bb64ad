package caperrudder.server.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.PolicyEvents;
import caperrudder.policy.TrafficPolicy;
import caperrudder.server.GatewayServer;
import caperrudder.server.GatewaySocketTest;
import caperrudder.server.TestGateways;
import caperrudder.server.TestRequests;
import caperrudder.server.config.GatewayConfig;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process that can't go on ends at once: once it neither served nor ended. */
class FatalErrorHandlerTest {
    private static final int HALTED = 1;

    @TempDir
    private Path dir;

    private Process process;

    @AfterEach
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String main, String argument, String config) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        ProcessBuilder b = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx32m",
                "-cp",
                System.getProperty("java.class.path"),
                main,
                argument);
        b.environment().put("NODE_CONFIG", file.toString());
        b.environment().put("TMPDIR", dir.toString());
        process = b.redirectError(dir.resolve("log").toFile()).start();
    }

    private void assertEnded(String line) throws Exception {
        assertTrue(process.waitFor(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS), "runs on");
        assertEquals(HALTED, process.exitValue());
        assertEquals(List.of(line), Files.readAllLines(dir.resolve("log")));
    }

    @Test
    void configurationBeyondTheHeapEndsTheProcess() throws Exception {
        start(
                "caperrudder.Main",
                "serve",
                TestGateways.config(
                        "127.0.0.1:1",
                        "127.0.0.1:0",
                        java.util.Collections.nCopies(800_000, "127.0.0.1:1").toArray(String[]::new)));
        assertEnded("FATAL process: can't continue cause=\"java.lang.OutOfMemoryError: Java heap space\"");
    }

    /** The loop's library drops an error with the task that threw it. */
    @Test
    void errorInATaskOfTheEventLoopEndsTheProcess() throws Exception {
        start(Failing.class.getName(), "timerFired", TestGateways.config("127.0.0.1:1", "127.0.0.1:0"));
        assertEnded("FATAL process: can't continue cause=\"java.lang.StackOverflowError: timerFired\"");
    }

    /** The loop's library turns an error into one closed connection. */
    @Test
    void errorWhileARequestIsReadEndsTheProcess() throws Exception {
        start(Failing.class.getName(), "requestReceived", TestGateways.config("127.0.0.1:1", "127.0.0.1:0"));
        int port =
                process.getInputStream().read() << 8 | process.getInputStream().read();
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.getOutputStream().write(TestRequests.bytes(TestRequests.view("v", GatewaySocketTest.TIMEOUT_MS)));
            assertEnded("FATAL process: can't continue cause=\"java.lang.StackOverflowError: requestReceived\"");
        }
    }

    /** Of a node that serves, for a module that fails. */
    public static final class Failing {
        private Failing() {}

        public static void main(String[] args) throws Exception {
            FatalErrorHandler.arm();
            LibraryLog.install();
            GatewayConfig config = GatewayConfig.readWithoutEndpoints(System.getenv("NODE_CONFIG"));
            GatewayServer node = new GatewayServer(config, Optional.empty(), act -> {
                TrafficPolicy brain = new TrafficPolicy(act);
                return (PolicyEvents) Proxy.newProxyInstance(
                        PolicyEvents.class.getClassLoader(),
                        new Class<?>[] {PolicyEvents.class},
                        (proxy, method, values) -> {
                            if (method.getName().equals(args[0])) {
                                throw new StackOverflowError(args[0]);
                            }
                            try {
                                return method.invoke(brain, values);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        });
            });
            node.start();
            System.out.write(node.port() >> 8);
            System.out.write(node.port());
            System.out.flush();
        }
    }
}
