package caperrudder.scale;

import caperrudder.scale.FleetSettings.UsageSharing;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One gateway process with a directory of its own; closing it ends the process and deletes the directory. */
final class GatewayProcess implements Closeable {
    private static final int END_SECONDS = 10;
    private static final int POLL_MS = 50;
    private static final double KB_PER_MB = 1024;

    private final Path directory;
    private final Process process;
    private final long startedNanos;
    private final int port;
    private final int adminPort;

    /** Starts the process by a shell command, with its configuration in the environment. */
    GatewayProcess(ProcessExperiment.Settings settings, String discoveryAddress) throws IOException {
        directory = Files.createTempDirectory("caperrudder-scale");
        try {
            port = freePort();
            adminPort = freePort();
            ProcessBuilder builder = builder(settings, discoveryAddress);
            startedNanos = System.nanoTime();
            process = builder.start();
        } catch (IOException e) {
            delete(directory);
            throw e;
        }
    }

    private ProcessBuilder builder(ProcessExperiment.Settings settings, String discoveryAddress) throws IOException {
        Path configuration = directory.resolve("config.json");
        Files.writeString(configuration, configuration(settings, discoveryAddress));
        Path shared = Files.createDirectory(directory.resolve("shared"));
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", settings.command())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(logFile().toFile());
        builder.environment().put("NODE_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", shared.toString());
        return builder;
    }

    private String configuration(ProcessExperiment.Settings settings, String discoveryAddress) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("name", "scale")
                .put("listen", "127.0.0.1:" + port)
                .put("admin_addr", "127.0.0.1:" + adminPort)
                .put("discovery", discoveryAddress)
                .put("seed", Long.toHexString(settings.seed()));
        root.putObject("limits").put("memory_mb", settings.memoryMb());
        ObjectNode policySettings = root.putObject("settings");
        FleetSettings.pairs(0, settings.fleet(), SimulatedDiscovery.zoneName(0), UsageSharing.METER)
                .forEach(policySettings::put);
        return root.toString();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** The port for requests. */
    int port() {
        return port;
    }

    /** The port for metrics. */
    int adminPort() {
        return adminPort;
    }

    /** When it was started, by {@link System#nanoTime}. */
    long startedNanos() {
        return startedNanos;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Processor time that the process has used, in nanoseconds; 0 where the system does not report it. */
    long cpuNanos() {
        return process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
    }

    /**
     * A line of the process's status, in MB; none on systems without {@code /proc}.
     *
     * @param name as {@code /proc/PID/status} has it, as {@code VmRSS}
     */
    OptionalDouble statusMb(String name) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return OptionalDouble.empty();
        }
        Matcher line = Pattern.compile("(?m)^" + name + ":\\s+(\\d+) kB").matcher(Files.readString(status));
        return line.find() ? OptionalDouble.of(Double.parseDouble(line.group(1)) / KB_PER_MB) : OptionalDouble.empty();
    }

    /** What the process has written to standard error. */
    List<String> log() throws IOException {
        return Files.readAllLines(logFile());
    }

    private Path logFile() {
        return directory.resolve("log");
    }

    /** A condition to wait for. */
    interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    /** Waits until the condition holds; false where the process ends or the time is up before. */
    boolean await(int seconds, Condition condition) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (process.isAlive() && System.nanoTime() < end) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(POLL_MS);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        try {
            end();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
        delete(directory);
    }

    private void end() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
