package caperrudder.policy.loadbalancing;

import java.util.List;

/**
 * What the hosts report of their own load with each answer (PROTOCOL, {@code Endpoint-Load-Metrics}), refreshed only
 * every few hundred milliseconds. Since reports are late, they shift an endpoint's chance to be chosen and no more: if
 * all gateways took the one that reports least, they would fill it.
 */
final class LoadReports {
    private static final String REQUESTS_HELD = "inflight"; // the report's field for requests that a host holds
    private static final double MEAN_GAIN = 0.05; // weight of one report in the mean reported load
    private static final double MAX_CORRECTION = 1.5; // times its share that an endpoint gets at most

    private final SlowStart slowStart;
    private final int field; // its place in each report; negative where hosts do not report it
    private double meanLoad; // requests that a warm endpoint holds on the mean of all reports

    LoadReports(List<String> fields, SlowStart slowStart) {
        this.slowStart = slowStart;
        field = fields.indexOf(REQUESTS_HELD);
    }

    /** Takes in a report: the values of the settings' fields in their order, or fewer. */
    void record(double now, Endpoint endpoint, double[] report) {
        if (field < 0 || field >= report.length) return;
        endpoint.setReportedLoad(report[field]);
        meanLoad += MEAN_GAIN * (report[field] / slowStart.capacity(endpoint, now) - meanLoad);
    }

    /** More than 1 for an endpoint that holds less than others for what it can do, by its last report. */
    double correction(double now, Endpoint endpoint) {
        if (!endpoint.hasReportedLoad()) return 1;
        double load = endpoint.reportedLoad() / slowStart.capacity(endpoint, now);
        return Math.max(1 / MAX_CORRECTION, Math.min(MAX_CORRECTION, (1 + meanLoad) / (1 + load)));
    }
}
