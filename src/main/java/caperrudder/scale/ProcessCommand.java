package caperrudder.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures real gateway processes over loopback by the number of hosts. */
@Command(
        name = "process",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        usageHelpWidth = 100,
        description = "Measures a real gateway process over loopback, started by the command 'run' of a deployment,"
                + " before simulated discovery and hosts: at each size a process is started anew, left idle, loaded,"
                + " and sent changes. Processor time is that of the whole process, as the system reports it.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:measured", "1:the measurement failed", "2:options that make no sense"})
final class ProcessCommand implements Callable<Integer> {
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*$");

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--hosts",
            split = ",",
            defaultValue = "10,1000,10000",
            paramLabel = "N",
            description = "Hosts in discovery's list; several sizes by commas (default: ${DEFAULT-VALUE}).")
    private List<Integer> hosts;

    @Option(
            names = "--run",
            paramLabel = "COMMAND",
            description = "What starts a gateway (default: 'run' of ./deploy/balancer.toml).")
    private String run;

    @Option(
            names = "--fleet",
            defaultValue = "1",
            paramLabel = "N",
            description = "Gateways that the settings speak of;"
                    + " it decides how many hosts the gateway keeps to (default: ${DEFAULT-VALUE}).")
    private int fleet;

    @Option(
            names = "--memory-mb",
            defaultValue = "256",
            paramLabel = "MB",
            description = "Memory that the settings give the gateway (default: ${DEFAULT-VALUE}).")
    private int memoryMb;

    @Option(
            names = "--idle",
            defaultValue = "10",
            paramLabel = "S",
            description = "Idle time, in seconds (default: ${DEFAULT-VALUE}).")
    private int idleSeconds;

    @Option(
            names = "--load",
            defaultValue = "10",
            paramLabel = "S",
            description = "Time under load, in seconds (default: ${DEFAULT-VALUE}).")
    private int loadSeconds;

    @Option(
            names = "--rate",
            defaultValue = "100",
            paramLabel = "PER-S",
            description = "Requests a second under load (default: ${DEFAULT-VALUE}).")
    private double requestsPerSecond;

    @Option(
            names = "--changes",
            defaultValue = "40",
            paramLabel = "N",
            description = "Changes of one host, ten a second (default: ${DEFAULT-VALUE}).")
    private int changes;

    @Option(
            names = "--answer-ms",
            defaultValue = "20",
            paramLabel = "MS",
            description = "Time that a host takes for an answer, in milliseconds (default: ${DEFAULT-VALUE}).")
    private int responseMs;

    @Mixin
    private OutputOptions output;

    @Override
    public Integer call() throws Exception {
        List<ProcessExperiment.Settings> sizes = new ArrayList<>();
        try {
            String command = run == null ? deployed(Path.of("deploy", "balancer.toml")) : run;
            for (int n : hosts) {
                sizes.add(new ProcessExperiment.Settings(
                        command,
                        n,
                        fleet,
                        memoryMb,
                        idleSeconds,
                        loadSeconds,
                        requestsPerSecond,
                        changes,
                        responseMs,
                        output.seed()));
            }
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        output.print(
                spec.commandLine().getOut(), options(sizes.get(0)), sizes, (size, progress) -> new ProcessExperiment(
                                size, progress)
                        .run());
        return CommandLine.ExitCode.OK;
    }

    /** The command by which a deployment starts a gateway; throws IllegalArgumentException where the file has none. */
    static String deployed(Path file) {
        try {
            Matcher run = RUN_COMMAND.matcher(Files.readString(file));
            if (run.find()) {
                return run.group(1);
            }
            throw new IllegalArgumentException(file + " has no line 'run': give --run");
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read " + file + ": give --run, or start from the repository");
        }
    }

    private Map<String, Object> options(ProcessExperiment.Settings first) {
        Map<String, Object> options = new LinkedHashMap<>();
        options.put("hosts", hosts);
        options.put("run", first.command());
        options.put("fleet", fleet);
        options.put("memory_mb", memoryMb);
        options.put("idle_s", idleSeconds);
        options.put("load_s", loadSeconds);
        options.put("rate_per_s", requestsPerSecond);
        options.put("changes", changes);
        options.put("answer_ms", responseMs);
        return options;
    }
}
