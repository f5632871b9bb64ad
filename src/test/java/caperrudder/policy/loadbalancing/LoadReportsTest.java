package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.api.SiteRules;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadReportsTest {
    private final SlowStart slowStart = new SlowStart(new SiteRules(8, 500, 2, 1000, 0.2, 10_000, 0));
    private final LoadReports reports = new LoadReports(List.of("util", "inflight"), slowStart);

    private static Endpoint endpoint(String id) {
        return new Endpoint(new Host(id, "a", "std", 0, HostState.RUNNING, 1, 0));
    }

    /** Returns a load report with these requests in flight. */
    private static double[] report(double requestsInFlight) {
        return new double[] {0.5, requestsInFlight};
    }

    @Test
    void theWeightCorrectionIsOneWithoutAReport() {
        Endpoint notReporting = endpoint("notReporting");
        reports.record(0, endpoint("other"), report(9));
        assertEquals(1, reports.weightCorrection(0, notReporting));
    }

    @Test
    void lessLoadThanTheMeanRaisesTheWeightCorrectionAndMoreLoadLowersItWithinBounds() {
        Endpoint busy = endpoint("busy");
        Endpoint idle = endpoint("idle");
        for (int i = 0; i < 200; i++) {
            reports.record(0, busy, report(20));
            reports.record(0, idle, report(0));
        }
        assertEquals(1.5, reports.weightCorrection(0, idle), 1e-9);
        assertEquals(1 / 1.5, reports.weightCorrection(0, busy), 1e-9);
    }

    @Test
    void theLoadOfAnEndpointInSlowStartIsComparedToItsCapacity() {
        Endpoint warm = endpoint("warm");
        Endpoint warmingUp = endpoint("warmingUp");
        warmingUp.recordRestart(1000, 0);
        for (int i = 0; i < 200; i++) {
            reports.record(1000, warm, report(10));
            reports.record(1000, warmingUp, report(2)); // at a fifth of its full capacity
        }
        assertEquals(1, reports.weightCorrection(1000, warm), 1e-3);
        assertEquals(1, reports.weightCorrection(1000, warmingUp), 1e-3);
    }

    @Test
    void aReportWithoutRequestsInFlightIsIgnored() {
        Endpoint endpoint = endpoint("h");
        reports.record(0, endpoint, new double[] {0.5});
        assertFalse(endpoint.hasReportedLoad());
        LoadReports reportsWithoutField = new LoadReports(List.of("util"), slowStart);
        reportsWithoutField.record(0, endpoint, report(3));
        assertFalse(endpoint.hasReportedLoad());
        reports.record(0, endpoint, report(3));
        assertTrue(endpoint.hasReportedLoad());
    }
}
