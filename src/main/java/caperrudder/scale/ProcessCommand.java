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

/** The same slopes on real processes over loopback. */
@Command(
        name = "process",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        usageHelpWidth = 100,
        description = "Measures a real gateway process over loopback, started by the command 'run' of a deployment,"
                + " before stand-ins for discovery and hosts: at each size a process is started anew, left idle, loaded,"
                + " and told changes. Processor time is that of the whole process, as the system tells it.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:measured", "1:the measurement failed", "2:options that make no sense"})
final class ProcessCommand implements Callable<Integer> {
    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*$");

    /** What is asked of each process. */
    record Plan(
            String command,
            int hosts,
            int fleet,
            int memoryMb,
            int idleS,
            int loadS,
            double ratePerS,
            int changes,
            int answerMs,
            long seed) {
        Plan {
            check(hosts >= 1 && hosts <= 1_000_000, "--hosts must be from 1 to 1000000");
            check(fleet >= 1 && fleet <= FleetSize.FLEET_MAX, "--fleet must be from 1 to " + FleetSize.FLEET_MAX);
            check(memoryMb >= 32 && memoryMb <= 4096, "--memory-mb must be from 32 to 4096");
            check(idleS >= 1 && idleS <= 60, "--idle must be from 1 to 60 seconds");
            check(loadS >= 0 && loadS <= 60, "--load must be from 0 to 60 seconds");
            check(ratePerS > 0 && ratePerS <= 2000, "--rate must be above 0 and at most 2000 requests a second");
            check(changes >= 0 && changes <= 600, "--changes must be from 0 to 600");
            check(answerMs >= 0 && answerMs <= 2000, "--answer-ms must be from 0 to 2000");
        }

        private static void check(boolean holds, String otherwise) {
            if (!holds) {
                throw new IllegalArgumentException(otherwise);
            }
        }
    }

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
            description = "Gateways that the settings tell of;"
                    + " it decides how many hosts the gateway keeps to (default: ${DEFAULT-VALUE}).")
    private int fleet;

    @Option(
            names = "--memory-mb",
            defaultValue = "256",
            paramLabel = "MB",
            description = "Memory that the settings tell the gateway of (default: ${DEFAULT-VALUE}).")
    private int memoryMb;

    @Option(
            names = "--idle",
            defaultValue = "10",
            paramLabel = "S",
            description = "Idle time, in seconds (default: ${DEFAULT-VALUE}).")
    private int idleS;

    @Option(
            names = "--load",
            defaultValue = "10",
            paramLabel = "S",
            description = "Time under load, in seconds (default: ${DEFAULT-VALUE}).")
    private int loadS;

    @Option(
            names = "--rate",
            defaultValue = "100",
            paramLabel = "PER-S",
            description = "Requests a second under load (default: ${DEFAULT-VALUE}).")
    private double ratePerS;

    @Option(
            names = "--changes",
            defaultValue = "40",
            paramLabel = "N",
            description = "Changes of one host, told ten a second (default: ${DEFAULT-VALUE}).")
    private int changes;

    @Option(
            names = "--answer-ms",
            defaultValue = "20",
            paramLabel = "MS",
            description = "Time that a host takes for an answer, in milliseconds (default: ${DEFAULT-VALUE}).")
    private int answerMs;

    @Mixin
    private OutputOptions output;

    @Override
    public Integer call() throws Exception {
        List<Plan> plans = new ArrayList<>();
        try {
            String command = run == null ? deployed(Path.of("deploy", "balancer.toml")) : run;
            for (int n : hosts) {
                plans.add(new Plan(
                        command, n, fleet, memoryMb, idleS, loadS, ratePerS, changes, answerMs, output.seed()));
            }
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        output.print(spec.commandLine().getOut(), options(plans.get(0)), plans, (plan, progress) -> new ProcessExperiment(
                        plan, progress)
                .run());
        return CommandLine.ExitCode.OK;
    }

    /** The command that a deployment starts a gateway by. */
    static String deployed(Path file) {
        try {
            Matcher run = RUN.matcher(Files.readString(file));
            if (run.find()) {
                return run.group(1);
            }
            throw new IllegalArgumentException(file + " has no line 'run': give --run");
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read " + file + ": give --run, or start from the repository");
        }
    }

    private Map<String, Object> options(Plan first) {
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("hosts", hosts);
        told.put("run", first.command());
        told.put("fleet", fleet);
        told.put("memory_mb", memoryMb);
        told.put("idle_s", idleS);
        told.put("load_s", loadS);
        told.put("rate_per_s", ratePerS);
        told.put("changes", changes);
        told.put("answer_ms", answerMs);
        return told;
    }
}
