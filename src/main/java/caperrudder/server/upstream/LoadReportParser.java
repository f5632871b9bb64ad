package caperrudder.server.upstream;

import caperrudder.server.http.HeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads what hosts tell beside a response's body: their load, and the customer's metered use of its quota. */
public final class LoadReportParser {
    static final AsciiString LOAD_HEADER = AsciiString.cached("Endpoint-Load-Metrics");
    static final AsciiString QUOTA_USED_HEADER = AsciiString.cached("X-Quota-Used");
    private static final int NOT_REPORTED = 0;
    private static final double[] NO_REPORT = {};

    private final List<String> fields;

    /** {@code fields}: the names of the values that a report must hold, in the order in which they are returned. */
    public LoadReportParser(List<String> fields) {
        this.fields = fields;
    }

    /** Whether reports hold no fields at all. */
    boolean isEmpty() {
        return fields.isEmpty();
    }

    /** The customer's metered use as the policy takes it, 1 + percent; 0 where the response tells none. */
    public static int quotaUsedPercentPlusOne(HttpResponse response) {
        double percent = HeaderValues.parseNumber(response.headers().get(QUOTA_USED_HEADER), false);
        return percent < 0 ? NOT_REPORTED : 1 + (int) percent;
    }

    /** The load report of a response; empty where there is none or it can't be read. */
    public double[] read(HttpResponse response) {
        String text = response.headers().get(LOAD_HEADER);
        return text == null ? NO_REPORT : parse(text);
    }

    /** The fields' values of {@code TEXT a=1, b=2}, in their order; empty where one is missing or malformed. */
    double[] parse(String text) {
        Map<String, Double> values = new HashMap<>();
        for (String part : text.substring(text.indexOf(' ') + 1).split(",", 0)) {
            int equals = part.indexOf('=');
            try {
                double value = Double.parseDouble(part.substring(equals + 1).trim());
                if (!Double.isFinite(value)) {
                    return NO_REPORT;
                }
                values.put(part.substring(0, Math.max(0, equals)).trim(), value);
            } catch (NumberFormatException e) {
                return NO_REPORT;
            }
        }
        return values.keySet().containsAll(fields)
                ? fields.stream().mapToDouble(values::get).toArray()
                : NO_REPORT;
    }
}
