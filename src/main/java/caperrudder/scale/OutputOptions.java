package caperrudder.scale;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Option;

/** The options that all experiments share, and the printing of their measurements. */
final class OutputOptions {
    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "Of all that is drawn by lot: one"
                    + " seed gives the same counts each time (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", description = "Prints one JSON object instead of lines.")
    private boolean json;

    /** An experiment at one size. */
    interface Experiment<T> {
        List<Measurement> run(T size, Progress progress) throws Exception;
    }

    long seed() {
        return seed;
    }

    /** Runs the experiment size by size and prints lines after each, or one JSON object in the end. */
    <T> void print(PrintWriter out, Map<String, Object> options, List<T> sizes, Experiment<T> experiment)
            throws Exception {
        List<Measurement> all = new ArrayList<>();
        Progress progress = new Progress(System.err);
        for (T size : sizes) {
            List<Measurement> measurements = experiment.run(size, progress);
            all.addAll(measurements);
            if (!json) {
                out.print(MeasurementFormat.text(measurements));
                out.flush();
            }
        }
        options.put("seed", seed);
        if (json) {
            out.println(MeasurementFormat.json(options, all));
        }
    }
}
