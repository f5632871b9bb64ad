package caperrudder.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** The figures of a run, in the order in which they were got, and how they are printed. */
final class Measurements {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_US = 1e3;

    private final List<Measurement> all = new ArrayList<>();
    private final int hosts;

    Measurements(int hosts) {
        this.hosts = hosts;
    }

    List<Measurement> all() {
        return List.copyOf(all);
    }

    /** The counts alone, which two rounds of one seed must share. */
    List<Measurement> counts() {
        return all.stream().filter(Measurement::count).toList();
    }

    void count(String name, double value, String unit) {
        all.add(new Measurement(hosts, name, value, unit, true));
    }

    void measured(String name, double value, String unit) {
        all.add(new Measurement(hosts, name, value, unit, false));
    }

    void ms(String name, double nanos) {
        measured(name, nanos / NANOS_PER_MS, "ms");
    }

    void us(String name, double nanos) {
        measured(name, nanos / NANOS_PER_US, "us");
    }

    /** One line a figure. */
    static String text(List<Measurement> figures) {
        StringBuilder text = new StringBuilder();
        for (Measurement f : figures) {
            text.append(String.format(
                    Locale.ROOT, "hosts=%-7d %-34s %16s %s%n", f.hosts(), f.name(), value(f.value()), f.unit()));
        }
        return text.toString();
    }

    private static String value(double v) {
        return String.format(Locale.ROOT, v == Math.rint(v) && Math.abs(v) < 1e15 ? "%.0f" : "%.4f", v);
    }

    /** One JSON object, a figure a line: the options as they were understood, java's flags here, the figures. */
    static String json(Map<String, ?> options, List<Measurement> figures) {
        ObjectNode head = JSON.createObjectNode();
        head.set("options", JSON.valueToTree(options));
        head.put("java", System.getProperty("java.vm.version"));
        head.set("flags", JSON.valueToTree(ManagementFactory.getRuntimeMXBean().getInputArguments()));
        String opened = head.toString();
        return opened.substring(0, opened.length() - 1) + ",\n\"figures\":[\n"
                + figures.stream().map(Measurements::json).collect(Collectors.joining(",\n")) + "\n]}";
    }

    private static String json(Measurement f) {
        return JSON.createObjectNode()
                .put("hosts", f.hosts())
                .put("name", f.name())
                .put("value", f.value())
                .put("unit", f.unit())
                .put("count", f.count())
                .toString();
    }
}
