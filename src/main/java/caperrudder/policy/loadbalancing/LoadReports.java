package caperrudder.policy.loadbalancing;

import java.util.List;

/**
 * The load that hosts report with each response (PROTOCOL, {@code Endpoint-Load-Metrics}). Hosts update it only every
 * few hundred milliseconds, so it merely adjusts the probability with which an endpoint is drawn: if all gateways used
 * the endpoint with the least reported load, they would overload it.
 */
final class LoadReports {
    private static final String IN_FLIGHT_FIELD = "inflight"; // requests in flight at the host
    private static final double MEAN_LOAD_GAIN = 0.05; // weight of one report in the moving average
    private static final double MAX_CORRECTION_FACTOR = 1.5; // its inverse is the minimum

    private final SlowStart slowStart;
    private final int fieldIndex; // in each report; -1 if hosts do not report it
    private double meanLoad; // moving average of the requests in flight at a warm endpoint

    LoadReports(List<String> fields, SlowStart slowStart) {
        this.slowStart = slowStart;
        fieldIndex = fields.indexOf(IN_FLIGHT_FIELD);
    }

    /** Records a report: the values of the configured fields in their order, possibly without the last ones. */
    void record(double now, Endpoint endpoint, double[] report) {
        if (fieldIndex < 0 || fieldIndex >= report.length) return;
        endpoint.setReportedLoad(report[fieldIndex]);
        meanLoad += MEAN_LOAD_GAIN * (report[fieldIndex] / slowStart.capacityShare(endpoint, now) - meanLoad);
    }

    /**
     * Returns the factor by which to correct an endpoint's weight: over 1 if its last report shows less load for its
     * capacity than the average, 1 if it has not reported.
     */
    double weightCorrection(double now, Endpoint endpoint) {
        if (!endpoint.hasReportedLoad()) return 1;
        double load = endpoint.reportedLoad() / slowStart.capacityShare(endpoint, now);
        return Math.max(1 / MAX_CORRECTION_FACTOR, Math.min(MAX_CORRECTION_FACTOR, (1 + meanLoad) / (1 + load)));
    }
}
