package caperrudder.scale;

import caperrudder.scale.FleetSettings.Sharing;
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

/** What a gateway costs by the size of its fleet: hollow gateways here, real processes in a command below. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        sortOptions = false,
        usageHelpWidth = 100,
        subcommands = ProcessCommand.class,
        description = {
            "Measures hollow gateways: the real decision module, the real reading of host lists and the real"
                    + " messages between gateways, many in one process, on a simulated clock, with stand-ins for hosts,"
                    + " discovery and the meter. One line a figure; processor time is that of the thread that tells a"
                    + " gateway its events, without collections of garbage.",
            "Measurements depend on java's own flags: measure with those of 'run' in deploy/balancer.toml where a gateway's"
                    + " costs count, and with a larger -Xmx where many gateways are built."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:measured", "1:the measurement failed", "2:options that make no sense"})
public final class ScaleCommand implements Callable<Integer> {
    private static final int ROUNDS_MAX = 10;
    private static final int ZONES = 32; // of the fleet to come; a zone's loss takes so large a part of the hosts
    private static final int SPREAD = 20;

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
            description = "Hollow gateways to build (default: ${DEFAULT-VALUE}).")
    private int gateways;

    @Option(
            names = "--fleet",
            paramLabel = "N",
            description = "Gateways that the settings tell of, of which those"
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
            description = "Gateways in a tenant's set (default: 20, or the fleet where that is smaller).")
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
    private double rate;

    @Option(
            names = "--changes",
            defaultValue = "40",
            paramLabel = "N",
            description = "Changes of one host, each told alone (default: ${DEFAULT-VALUE}).")
    private int changes;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            description = "Hosts that vanish in one moment and come back cold"
                    + " (default: a 32nd of the hosts, as a zone of the fleet to come).")
    private Integer atOnce;

    @Option(
            names = "--idle",
            defaultValue = "10",
            paramLabel = "S",
            description = "Idle time, in simulated seconds (default: ${DEFAULT-VALUE}).")
    private int idleS;

    @Option(
            names = "--sharing",
            defaultValue = "meter",
            paramLabel = "HOW",
            description = "How gateways learn what the others let in: meter or peers (default: ${DEFAULT-VALUE}).")
    private Sharing sharing;

    @Option(
            names = "--rounds",
            defaultValue = "2",
            paramLabel = "N",
            description = "Rounds of the whole measurement at"
                    + " each size, of which the last is told; the others warm up (default: ${DEFAULT-VALUE}).")
    private int rounds;

    @Mixin
    private OutputOptions output;

    /** Runs the command; the exit code: 0, 1 where a measurement failed, 2 for options that make no sense. */
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
        List<FleetSize> sizes = checked();
        output.print(spec.commandLine().getOut(), options(sizes), sizes, this::measure);
        return CommandLine.ExitCode.OK;
    }

    /** All sizes, before the first is measured. */
    private List<FleetSize> checked() {
        try {
            if (rounds < 1 || rounds > ROUNDS_MAX) {
                throw new IllegalArgumentException("--rounds must be from 1 to " + ROUNDS_MAX);
            }
            List<FleetSize> all = new ArrayList<>();
            for (int n : hosts) {
                int told = fleet == null ? gateways : fleet;
                FleetSize s = new FleetSize(
                        gateways,
                        told,
                        n,
                        tenants,
                        spread == null ? Math.min(SPREAD, told) : spread,
                        requests,
                        rate,
                        changes,
                        atOnce == null ? n / ZONES : atOnce,
                        idleS,
                        sharing,
                        output.seed());
                MemoryLimit.check(s.estimatedBytes(), Runtime.getRuntime().maxMemory(), MemoryLimit.physicalBytes());
                all.add(s);
            }
            return all;
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private List<Measurement> measure(FleetSize s, Progress progress) {
        Measurements last = null;
        for (int round = 1; round <= rounds; round++) {
            String step = s.hosts() + " hosts, round " + round + " of " + rounds;
            Measurements figures = new FleetExperiment(s, progress, step).run();
            if (last != null && !last.counts().equals(figures.counts())) {
                throw new IllegalStateException(
                        "rounds of one seed differ in their counts: " + last.counts() + " and " + figures.counts());
            }
            last = figures;
        }
        return last.all();
    }

    private Map<String, Object> options(List<FleetSize> sizes) {
        FleetSize first = sizes.get(0);
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("hosts", hosts);
        told.put("gateways", gateways);
        told.put("fleet", first.fleet());
        told.put("tenants", tenants);
        told.put("spread", first.spread());
        told.put("requests", requests);
        told.put("rate_per_s", rate);
        told.put("changes", changes);
        told.put("at_once", sizes.stream().map(FleetSize::atOnce).toList());
        told.put("idle_s", idleS);
        told.put("sharing", sharing.name().toLowerCase(java.util.Locale.ROOT));
        told.put("rounds", rounds);
        return told;
    }
}
