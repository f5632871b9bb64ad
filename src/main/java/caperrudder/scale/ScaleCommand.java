package caperrudder.scale;

import caperrudder.scale.FleetSettings.UsageSharing;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Measures what a gateway costs by the size of its fleet: simulated gateways here, real processes in the command below.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        sortOptions = false,
        usageHelpWidth = 100,
        subcommands = ProcessCommand.class,
        description = {
            "Measures simulated gateways: the real decision logic, the real reader of host lists and the real"
                    + " messages between gateways, many in one process, on a simulated clock, with simulated hosts,"
                    + " discovery and meter. One line a figure; processor time is that of the thread that delivers a"
                    + " gateway's events, without collections of garbage.",
            "Figures depend on java's own flags: measure with those of 'run' in deploy/balancer.toml where a gateway's"
                    + " costs count, and with a larger -Xmx where many gateways are built."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:measured", "1:the measurement failed", "2:options that make no sense"})
public final class ScaleCommand implements Callable<Integer> {
    private static final int ROUNDS_MAX = 10;
    private static final int ZONES = 32; // of the fleet to come: an outage takes one zone's part of the hosts
    private static final int DEFAULT_SPREAD = 20;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--hosts",
            split = ",",
            defaultValue = "1000",
            paramLabel = "N",
            description = "Hosts in discovery's list; several sizes by commas (default: ${DEFAULT-VALUE}).")
    private List<Integer> hosts;

    @Option(
            names = "--gateways",
            defaultValue = "1",
            paramLabel = "N",
            description = "Simulated gateways to build (default: ${DEFAULT-VALUE}).")
    private int gateways;

    @Option(
            names = "--fleet",
            paramLabel = "N",
            description = "Gateways that the settings speak of, of which those"
                    + " built are some (default: as many as are built). It decides how many hosts a gateway keeps to.")
    private Integer fleet;

    @Option(
            names = "--tenants",
            defaultValue = "1000",
            paramLabel = "N",
            description = "Tenants of the whole fleet (default: ${DEFAULT-VALUE}).")
    private int tenants;

    @Option(
            names = "--spread",
            paramLabel = "N",
            description = "Gateways in a tenant's replica set (default: 20, or the fleet where that is smaller).")
    private Integer spread;

    @Option(
            names = "--requests",
            defaultValue = "2000",
            paramLabel = "N",
            description = "Requests to each gateway (default: ${DEFAULT-VALUE}).")
    private int requests;

    @Option(
            names = "--rate",
            defaultValue = "400",
            paramLabel = "PER-S",
            description = "Requests a second to each gateway (default: ${DEFAULT-VALUE}).")
    private double requestsPerSecond;

    @Option(
            names = "--changes",
            defaultValue = "40",
            paramLabel = "N",
            description = "Changes of one host, each in an update of its own (default: ${DEFAULT-VALUE}).")
    private int changes;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            description = "Hosts that vanish in one moment and come back warming up"
                    + " (default: a 32nd of the hosts, as a zone of the fleet to come).")
    private Integer atOnce;

    @Option(
            names = "--idle",
            defaultValue = "10",
            paramLabel = "S",
            description = "Idle time, in simulated seconds (default: ${DEFAULT-VALUE}).")
    private int idleSeconds;

    @Option(
            names = "--sharing",
            defaultValue = "meter",
            paramLabel = "HOW",
            description = "How gateways learn what the others admitted: meter or peers (default: ${DEFAULT-VALUE}).")
    private UsageSharing sharing;

    @Option(
            names = "--rounds",
            defaultValue = "2",
            paramLabel = "N",
            description = "Rounds of the whole measurement at"
                    + " each size, of which the last is printed; the others warm up (default: ${DEFAULT-VALUE}).")
    private int rounds;

    @Mixin
    private OutputOptions output;

    /** Runs the command; returns the exit code: 0, 1 where a measurement failed, 2 for options that make no sense. */
    public static int run(String... args) {
        return run(System.out, System.err, args);
    }

    static int run(PrintStream out, PrintStream err, String... args) {
        return new CommandLine(new ScaleCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setOut(new PrintWriter(out, true, StandardCharsets.UTF_8))
                .setErr(new PrintWriter(err, true, StandardCharsets.UTF_8))
                .setParameterExceptionHandler((e, unused) -> {
                    err.println(name(e.getCommandLine()) + ": "
                            + e.getMessage().lines().findFirst().orElse("") + " (see --help)");
                    return CommandLine.ExitCode.USAGE;
                })
                .setExecutionExceptionHandler((e, line, unused) -> {
                    err.println(name(line) + ": " + e);
                    return CommandLine.ExitCode.SOFTWARE;
                })
                .execute(args);
    }

    private static String name(CommandLine line) {
        return line.getCommandSpec().qualifiedName();
    }

    @Override
    public Integer call() throws Exception {
        List<FleetSize> sizes = checkedSizes();
        output.print(spec.commandLine().getOut(), options(sizes), sizes, this::measure);
        return CommandLine.ExitCode.OK;
    }

    /** All sizes, checked before the first is measured. */
    private List<FleetSize> checkedSizes() {
        try {
            if (rounds < 1 || rounds > ROUNDS_MAX) {
                throw new IllegalArgumentException("--rounds must be from 1 to " + ROUNDS_MAX);
            }
            List<FleetSize> sizes = new ArrayList<>();
            for (int hostCount : hosts) {
                FleetSize size = size(hostCount);
                MemoryLimit.check(size.estimatedBytes(), Runtime.getRuntime().maxMemory(), MemoryLimit.physicalBytes());
                sizes.add(size);
            }
            return sizes;
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private FleetSize size(int hostCount) {
        int fleetSize = fleet == null ? gateways : fleet;
        return new FleetSize(
                gateways,
                fleetSize,
                hostCount,
                tenants,
                spread == null ? Math.min(DEFAULT_SPREAD, fleetSize) : spread,
                requests,
                requestsPerSecond,
                changes,
                atOnce == null ? hostCount / ZONES : atOnce,
                idleSeconds,
                sharing,
                output.seed());
    }

    private List<Measurement> measure(FleetSize size, Progress progress) {
        Measurements last = null;
        for (int round = 1; round <= rounds; round++) {
            progress.beginRun(size.hosts() + " hosts, round " + round + " of " + rounds);
            Measurements measurements = new FleetExperiment(size, progress).run();
            if (last != null && !last.deterministic().equals(measurements.deterministic())) {
                throw new IllegalStateException("rounds of one seed differ in their counts: " + last.deterministic()
                        + " and " + measurements.deterministic());
            }
            last = measurements;
        }
        return last.all();
    }

    private Map<String, Object> options(List<FleetSize> sizes) {
        FleetSize first = sizes.get(0);
        Map<String, Object> options = new LinkedHashMap<>();
        options.put("hosts", hosts);
        options.put("gateways", gateways);
        options.put("fleet", first.fleet());
        options.put("tenants", tenants);
        options.put("spread", first.spread());
        options.put("requests", requests);
        options.put("rate_per_s", requestsPerSecond);
        options.put("changes", changes);
        options.put("at_once", sizes.stream().map(FleetSize::atOnce).toList());
        options.put("idle_s", idleSeconds);
        options.put("sharing", sharing.name().toLowerCase(java.util.Locale.ROOT));
        options.put("rounds", rounds);
        return options;
    }
}
