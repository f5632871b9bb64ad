package caperrudder.scale;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One real process at one size: started, awaited, left idle, loaded, sent changes, ended. Not thread-safe. */
final class ProcessExperiment {
    private static final int READY_SECONDS = 60;
    private static final int LIST_SECONDS = 20;
    private static final int SETTLE_MS = 2000;
    private static final int CHANGE_GAP_MS = 100;
    private static final int WARM_UP_SECONDS = 3; // of load before the load that counts
    private static final int LOG_LINES = 5; // of the gateway's, shown with the progress
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MS = 1e6;
    private static final double US_PER_MS = 1e3;
    private static final Pattern CLUSTER_SIZE = Pattern.compile("(?m)^\\S*cluster_size\\S* (\\d+)");

    /**
     * What is done to the process.
     *
     * @param command the shell command that starts it
     * @param hosts the hosts in discovery's list
     * @param fleet the gateways that its settings speak of
     * @param memoryMb the memory that its settings give it
     * @param idleSeconds seconds without requests
     * @param loadSeconds seconds under load, 0 for none
     * @param requestsPerSecond the rate under load
     * @param changes updates of one host
     * @param responseMs the time that a host takes for a response
     * @param seed of all that is drawn
     */
    record Settings(
            String command,
            int hosts,
            int fleet,
            int memoryMb,
            int idleSeconds,
            int loadSeconds,
            double requestsPerSecond,
            int changes,
            int responseMs,
            long seed) {
        /** Throws IllegalArgumentException, with a message that names the option, for settings that make no sense. */
        Settings {
            check(hosts >= 1 && hosts <= 1_000_000, "--hosts must be from 1 to 1000000");
            check(fleet >= 1 && fleet <= FleetSize.FLEET_MAX, "--fleet must be from 1 to " + FleetSize.FLEET_MAX);
            check(memoryMb >= 32 && memoryMb <= 4096, "--memory-mb must be from 32 to 4096");
            check(idleSeconds >= 1 && idleSeconds <= 60, "--idle must be from 1 to 60 seconds");
            check(loadSeconds >= 0 && loadSeconds <= 60, "--load must be from 0 to 60 seconds");
            check(
                    requestsPerSecond > 0 && requestsPerSecond <= 2000,
                    "--rate must be above 0 and at most 2000 requests a second");
            check(changes >= 0 && changes <= 600, "--changes must be from 0 to 600");
            check(responseMs >= 0 && responseMs <= 2000, "--answer-ms must be from 0 to 2000");
        }

        private static void check(boolean holds, String otherwise) {
            if (!holds) {
                throw new IllegalArgumentException(otherwise);
            }
        }
    }

    private final Settings settings;
    private final Progress progress;
    private final Measurements measurements;
    private final HttpLoad load;

    ProcessExperiment(Settings settings, Progress progress) {
        this.settings = settings;
        this.progress = progress;
        this.measurements = new Measurements(settings.hosts());
        this.load = new HttpLoad(settings.requestsPerSecond(), progress);
    }

    /** Runs all phases; takes up to some minutes. */
    List<Measurement> run() throws IOException, InterruptedException {
        progress.beginRun(settings.hosts() + " hosts");
        try (LoopbackServers servers = new LoopbackServers(settings.hosts(), settings.seed(), settings.responseMs())) {
            try (GatewayProcess gateway = new GatewayProcess(settings, servers.discoveryAddress())) {
                measure(gateway, servers);
            }
        }
        return measurements.all();
    }

    private void measure(GatewayProcess gateway, LoopbackServers servers) throws IOException, InterruptedException {
        boolean ready = gateway.await(READY_SECONDS, () -> serves(gateway));
        measurements.measured("process.serves", ready ? 1 : 0, "process");
        if (ready) {
            double seconds = (System.nanoTime() - gateway.startedNanos()) / NANOS_PER_SECOND;
            measurements.measured("process.ready", seconds, "s");
            measurePhases(gateway, servers);
        }
        measurements.measured("process.alive", gateway.isAlive() ? 1 : 0, "process");
        reportLog(gateway);
    }

    private void reportLog(GatewayProcess gateway) throws IOException {
        List<String> log = gateway.log();
        measurements.measured("process.log", log.size(), "lines");
        log.stream().limit(LOG_LINES).forEach(line -> progress.report("log: " + line));
    }

    private void measurePhases(GatewayProcess gateway, LoopbackServers servers)
            throws IOException, InterruptedException {
        boolean listed = gateway.await(LIST_SECONDS, () -> listedHosts(gateway) == settings.hosts());
        measurements.measured("process.list.taken", listed ? 1 : 0, "list");
        Thread.sleep(SETTLE_MS);
        double idleCpuMs = measureIdle(gateway, servers);
        if (settings.loadSeconds() > 0) {
            load.send(gateway.port(), WARM_UP_SECONDS);
            measureLoad(gateway, idleCpuMs);
        }
        if (settings.changes() > 0) {
            measureChanges(gateway, servers, idleCpuMs);
        }
        measurements.measured("process.lists.whole", servers.fullLists(), "lists");
        measureMemory(gateway);
    }

    /** Returns the processor time of an idle second, in milliseconds. */
    private double measureIdle(GatewayProcess gateway, LoopbackServers servers) throws InterruptedException {
        int seconds = settings.idleSeconds();
        long callsBefore = servers.calls();
        long bytesBefore = servers.bytesSent();
        long cpuBefore = gateway.cpuNanos();
        long began = System.nanoTime();
        for (int second = 0; second < seconds; second++) {
            TimeUnit.SECONDS.sleep(1);
            progress.at("idle", second, seconds);
        }
        double elapsedSeconds = (System.nanoTime() - began) / NANOS_PER_SECOND;
        double cpuMs = (gateway.cpuNanos() - cpuBefore) / NANOS_PER_MS / elapsedSeconds;
        measurements.measured("process.idle.second.cpu", cpuMs, "ms");
        measurements.measured(
                "process.idle.calls", (double) (servers.calls() - callsBefore) / seconds, "calls a second");
        measurements.measured(
                "process.idle.told", (double) (servers.bytesSent() - bytesBefore) / seconds, "bytes a second");
        return cpuMs;
    }

    private void measureLoad(GatewayProcess gateway, double idleCpuMs) throws InterruptedException {
        long cpuBefore = gateway.cpuNanos();
        long began = System.nanoTime();
        HttpLoad.Result result = load.send(gateway.port(), settings.loadSeconds());
        double cpuMs = cpuMsAboveIdle(gateway, cpuBefore, began, idleCpuMs);
        measurements.measured("process.requests.served", result.served(), "requests");
        measurements.measured("process.requests.unserved", result.unserved(), "requests");
        measurements.measured("process.request.cpu", cpuMs * US_PER_MS / result.sent(), "us");
        if (result.served() > 0) {
            for (String percentile : List.of("50", "99", "99.9")) {
                long nanos = result.latencyNanosAt(Double.parseDouble(percentile));
                measurements.ms("process.added.p" + percentile, nanos - settings.responseMs() * NANOS_PER_MS);
            }
        }
    }

    private void measureChanges(GatewayProcess gateway, LoopbackServers servers, double idleCpuMs)
            throws InterruptedException {
        Random random = new Random(settings.seed());
        long cpuBefore = gateway.cpuNanos();
        long began = System.nanoTime();
        for (int i = 0; i < settings.changes(); i++) {
            servers.change(random.nextInt(settings.hosts()));
            Thread.sleep(CHANGE_GAP_MS);
            progress.at("changes", i, settings.changes());
        }
        double cpuMs = cpuMsAboveIdle(gateway, cpuBefore, began, idleCpuMs);
        measurements.measured("process.change.cpu", cpuMs / settings.changes(), "ms");
    }

    /** Processor time since a moment, without what idling would have used, in milliseconds. */
    private static double cpuMsAboveIdle(GatewayProcess gateway, long cpuNanosBefore, long began, double idleCpuMs) {
        double elapsedSeconds = (System.nanoTime() - began) / NANOS_PER_SECOND;
        return (gateway.cpuNanos() - cpuNanosBefore) / NANOS_PER_MS - idleCpuMs * elapsedSeconds;
    }

    private void measureMemory(GatewayProcess gateway) throws IOException {
        gateway.statusMb("VmHWM").ifPresent(mb -> measurements.measured("process.memory.peak", mb, "MB"));
        gateway.statusMb("VmRSS").ifPresent(mb -> measurements.measured("process.memory", mb, "MB"));
    }

    private boolean serves(GatewayProcess gateway) throws InterruptedException {
        return load.get(gateway.port(), "/healthz")
                .map(answer -> answer.statusCode() == HttpLoad.OK)
                .orElse(false);
    }

    /** How many hosts the gateway's metrics say that its list holds; -1 where they say nothing. */
    private int listedHosts(GatewayProcess gateway) throws InterruptedException {
        String metrics = load.get(gateway.adminPort(), "/api/telemetry")
                .map(answer -> answer.body())
                .orElse("");
        Matcher size = CLUSTER_SIZE.matcher(metrics);
        return size.find() ? Integer.parseInt(size.group(1)) : -1;
    }
}
