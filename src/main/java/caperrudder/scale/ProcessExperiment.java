package caperrudder.scale;

import caperrudder.scale.FleetSettings.Sharing;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;

/** One real process at one size: started, awaited, left idle, loaded, told changes, ended. */
final class ProcessExperiment {
    private static final int READY_S = 60;
    private static final int LIST_S = 20;
    private static final int END_S = 10;
    private static final int POLL_MS = 50;
    private static final int SETTLE_MS = 2000;
    private static final int CHANGE_GAP_MS = 100;
    private static final int CALL_S = 5;
    private static final int OPEN_MAX = 256;
    private static final int WARM_S = 3; // of load before the load that counts
    private static final int DIGITS = 3; // of latencies
    private static final int OK = 200;
    private static final int LOG_LINES = 5; // of the gateway's, shown with the progress
    private static final double NANOS_PER_S = 1e9;
    private static final Pattern SIZE = Pattern.compile("(?m)^\\S*cluster_size\\S* (\\d+)");
    private static final Pattern MEMORY = Pattern.compile("(?m)^(VmRSS|VmHWM):\\s+(\\d+) kB");

    private final ProcessCommand.Plan plan;
    private final Progress progress;
    private final Measurements figures;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(CALL_S))
            .build();
    private long serial; // of requests: each has an id of its own

    ProcessExperiment(ProcessCommand.Plan plan, Progress progress) {
        this.plan = plan;
        this.progress = progress;
        this.figures = new Measurements(plan.hosts());
    }

    List<Measurement> run() throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("caperrudder-scale");
        Process process = null;
        try (LoopbackServers standIns = new LoopbackServers(plan.hosts(), plan.seed(), plan.answerMs())) {
            int port = freePort();
            int adminPort = freePort();
            Path config = dir.resolve("config.json");
            Files.writeString(config, config(port, adminPort, standIns.discoveryAddress()));
            ProcessBuilder builder = new ProcessBuilder("sh", "-c", plan.command())
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .redirectError(dir.resolve("log").toFile());
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment()
                    .put("TMPDIR", Files.createDirectory(dir.resolve("shared")).toString());
            long started = System.nanoTime();
            process = builder.start();
            boolean serves = await(process, READY_S, () -> status(port) == OK);
            figures.measured("process.serves", serves ? 1 : 0, "process");
            if (serves) {
                figures.measured("process.ready", (System.nanoTime() - started) / NANOS_PER_S, "s");
                phases(process, standIns, port, adminPort);
            }
            figures.measured("process.alive", process.isAlive() ? 1 : 0, "process");
            List<String> log = Files.readAllLines(dir.resolve("log"));
            figures.measured("process.log", log.size(), "lines");
            log.stream().limit(LOG_LINES).forEach(line -> progress.say(plan.hosts() + " hosts, log: " + line));
        } finally {
            end(process);
            delete(dir);
        }
        return figures.all();
    }

    private void phases(Process process, LoopbackServers standIns, int port, int adminPort)
            throws IOException, InterruptedException {
        boolean taken = await(process, LIST_S, () -> listed(adminPort) == plan.hosts());
        figures.measured("process.list.taken", taken ? 1 : 0, "list");
        Thread.sleep(SETTLE_MS);
        long calls = standIns.calls();
        long told = standIns.bytesTold();
        double idle = seconds(process, plan.idleS(), "idle");
        figures.measured("process.idle.second.cpu", idle, "ms");
        figures.measured("process.idle.calls", (double) (standIns.calls() - calls) / plan.idleS(), "calls a second");
        figures.measured("process.idle.told", (double) (standIns.bytesTold() - told) / plan.idleS(), "bytes a second");
        if (plan.loadS() > 0) {
            send(port, WARM_S, new ConcurrentHistogram(DIGITS), new AtomicLong(), new AtomicLong());
            load(process, port, idle);
        }
        changes(process, standIns, idle);
        figures.measured("process.lists.whole", standIns.wholeLists(), "lists");
        tellMemory(process);
    }

    /** Processor time of an average second, in milliseconds. */
    private double seconds(Process process, int seconds, String phase) throws InterruptedException {
        long before = cpuNanos(process);
        long began = System.nanoTime();
        for (int s = 0; s < seconds; s++) {
            TimeUnit.SECONDS.sleep(1);
            progress.at(plan.hosts() + " hosts, " + phase, s, seconds);
        }
        return (cpuNanos(process) - before) / 1e6 / ((System.nanoTime() - began) / NANOS_PER_S);
    }

    private void load(Process process, int port, double idleMs) throws InterruptedException {
        ConcurrentHistogram nanos = new ConcurrentHistogram(DIGITS);
        AtomicLong served = new AtomicLong();
        AtomicLong unserved = new AtomicLong();
        long before = cpuNanos(process);
        long began = System.nanoTime();
        long all = send(port, plan.loadS(), nanos, served, unserved);
        double seconds = (System.nanoTime() - began) / NANOS_PER_S;
        double cpuMs = (cpuNanos(process) - before) / 1e6 - idleMs * seconds;
        figures.measured("process.requests.served", served.get(), "requests");
        figures.measured("process.requests.unserved", unserved.get(), "requests");
        figures.measured("process.request.cpu", cpuMs * 1000 / all, "us");
        for (String p : served.get() > 0 ? List.of("50", "99", "99.9") : List.<String>of()) {
            figures.ms(
                    "process.added.p" + p, nanos.getValueAtPercentile(Double.parseDouble(p)) - plan.answerMs() * 1e6);
        }
    }

    /** Requests at the rate, however the gateway keeps up; returns how many, once all have ended. */
    private long send(int port, int seconds, ConcurrentHistogram nanos, AtomicLong served, AtomicLong unserved)
            throws InterruptedException {
        Semaphore open = new Semaphore(OPEN_MAX);
        long all = Math.max(1, (long) (seconds * plan.ratePerS()));
        long gap = (long) (NANOS_PER_S / plan.ratePerS());
        long began = System.nanoTime();
        for (long i = 0; i < all; i++) {
            long due = began + i * gap; // latency counts from here, also where the client is late
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
            open.acquire();
            client.sendAsync(request(port), HttpResponse.BodyHandlers.ofByteArray())
                    .whenComplete((r, failed) -> {
                        if (failed == null && r.statusCode() == OK) {
                            nanos.recordValue(Math.max(0, System.nanoTime() - due));
                            served.incrementAndGet();
                        } else {
                            unserved.incrementAndGet();
                        }
                        open.release();
                    });
            progress.at(plan.hosts() + " hosts, requests", i, all);
        }
        open.tryAcquire(OPEN_MAX, CALL_S, TimeUnit.SECONDS);
        return all;
    }

    private HttpRequest request(int port) {
        long number = serial++;
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/" + FleetSettings.className(0)))
                .header("X-Trace-Id", String.format("%016x", number))
                .header("X-Plan", FleetSettings.PLAN_NAMES[2])
                .header("X-Customer", String.format("%016x", Tenants.id((int) (number % 1000))))
                .header("X-Expires-In-Ms", "3000")
                .header("X-Quota", "units=1,spread=1,first=0")
                .timeout(Duration.ofSeconds(CALL_S))
                .GET()
                .build();
    }

    private void changes(Process process, LoopbackServers standIns, double idleMs) throws InterruptedException {
        if (plan.changes() == 0) {
            return;
        }
        Random random = new Random(plan.seed());
        long before = cpuNanos(process);
        long began = System.nanoTime();
        for (int i = 0; i < plan.changes(); i++) {
            standIns.change(random.nextInt(plan.hosts()));
            Thread.sleep(CHANGE_GAP_MS);
            progress.at(plan.hosts() + " hosts, changes", i, plan.changes());
        }
        double seconds = (System.nanoTime() - began) / NANOS_PER_S;
        figures.measured(
                "process.change.cpu", ((cpuNanos(process) - before) / 1e6 - idleMs * seconds) / plan.changes(), "ms");
    }

    private void tellMemory(Process process) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (Files.exists(status)) { // elsewhere the system tells it in other ways
            Matcher m = MEMORY.matcher(Files.readString(status));
            while (m.find()) {
                figures.measured(
                        m.group(1).equals("VmRSS") ? "process.memory" : "process.memory.peak",
                        Double.parseDouble(m.group(2)) / 1024,
                        "MB");
            }
        }
    }

    private static long cpuNanos(Process process) {
        return process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
    }

    private interface Check {
        boolean holds() throws IOException, InterruptedException;
    }

    private static boolean await(Process process, int seconds, Check check) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (process.isAlive() && System.nanoTime() < end) {
            if (check.holds()) {
                return true;
            }
            Thread.sleep(POLL_MS);
        }
        return false;
    }

    private int status(int port) throws InterruptedException {
        HttpResponse<String> answer = get(port, "/healthz");
        return answer == null ? 0 : answer.statusCode();
    }

    /** How many hosts the gateway says that its list holds; -1 where it says nothing. */
    private int listed(int adminPort) throws InterruptedException {
        HttpResponse<String> answer = get(adminPort, "/api/telemetry");
        Matcher m = SIZE.matcher(answer == null ? "" : answer.body());
        return m.find() ? Integer.parseInt(m.group(1)) : -1;
    }

    private HttpResponse<String> get(int port, String path) throws InterruptedException {
        try {
            return client.send(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                            .timeout(Duration.ofSeconds(1))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return null; // not there yet
        }
    }

    private String config(int port, int adminPort, String discovery) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("name", "scale")
                .put("listen", "127.0.0.1:" + port)
                .put("admin_addr", "127.0.0.1:" + adminPort)
                .put("discovery", discovery)
                .put("seed", Long.toHexString(plan.seed()));
        root.putObject("limits").put("memory_mb", plan.memoryMb());
        ObjectNode settings = root.putObject("settings");
        Map<String, String> pairs = FleetSettings.pairs(0, plan.fleet(), SimulatedDiscovery.zoneName(0), Sharing.METER);
        pairs.forEach(settings::put);
        return root.toString();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static void end(Process process) throws InterruptedException {
        if (process != null) {
            process.destroy();
            if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor(END_S, TimeUnit.SECONDS);
            }
        }
    }

    private static void delete(Path dir) throws IOException {
        try (Stream<Path> files = Files.walk(dir)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
