package caperrudder.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** The two forms in which measurements are printed: aligned lines and one JSON object. */
final class MeasurementFormat {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double LARGEST_WHOLE = 1e15; // above, a double's digits after the point are gone

    private MeasurementFormat() {}

    /** One line for each. */
    static String text(List<Measurement> measurements) {
        StringBuilder text = new StringBuilder();
        for (Measurement m : measurements) {
            text.append(String.format(
                    Locale.ROOT, "hosts=%-7d %-34s %16s %s%n", m.hosts(), m.name(), number(m.value()), m.unit()));
        }
        return text.toString();
    }

    private static String number(double value) {
        boolean whole = value == Math.rint(value) && Math.abs(value) < LARGEST_WHOLE;
        return String.format(Locale.ROOT, whole ? "%.0f" : "%.4f", value);
    }

    /** One object: the options as they were understood, this Java's version and flags, and a line for each value. */
    static String json(Map<String, ?> options, List<Measurement> measurements) {
        ObjectNode head = JSON.createObjectNode();
        head.set("options", JSON.valueToTree(options));
        head.put("java", System.getProperty("java.vm.version"));
        head.set("flags", JSON.valueToTree(ManagementFactory.getRuntimeMXBean().getInputArguments()));
        String headText = head.toString();
        String opened = headText.substring(0, headText.length() - 1);
        String values = measurements.stream().map(MeasurementFormat::json).collect(Collectors.joining(",\n"));
        return opened + ",\n\"figures\":[\n" + values + "\n]}";
    }

    private static String json(Measurement m) {
        return JSON.createObjectNode()
                .put("hosts", m.hosts())
                .put("name", m.name())
                .put("value", m.value())
                .put("unit", m.unit())
                .put("count", m.deterministic())
                .toString();
    }
}
