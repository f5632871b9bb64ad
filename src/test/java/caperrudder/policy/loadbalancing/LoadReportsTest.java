package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.api.Rules;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadReportsTest {
    private final SlowStart slowStart = new SlowStart(new Rules(8, 500, 2, 1000, 0.2, 10_000, 0));
    private final LoadReports reports = new LoadReports(List.of("util", "inflight"), slowStart);

    private static Endpoint endpoint(String id) {
        return new Endpoint(new Host(id, "a", "std", 0, HostState.RUNNING, 1, 0));
    }

    private static double[] inflight(double requests) {
        return new double[] {0.5, requests};
    }

    @Test
    void anEndpointWithoutAReportIsNotCorrected() {
        Endpoint silent = endpoint("silent");
        reports.record(0, endpoint("other"), inflight(9));
        assertEquals(1, reports.correction(0, silent));
    }

    @Test
    void anEndpointThatHoldsLessThanOthersGetsMoreWithinBounds() {
        Endpoint busy = endpoint("busy");
        Endpoint idle = endpoint("idle");
        for (int i = 0; i < 200; i++) {
            reports.record(0, busy, inflight(20));
            reports.record(0, idle, inflight(0));
        }
        assertEquals(1.5, reports.correction(0, idle), 1e-9);
        assertEquals(1 / 1.5, reports.correction(0, busy), 1e-9);
    }

    @Test
    void theLoadOfAnEndpointInSlowStartCountsForWhatItCanDo() {
        Endpoint warm = endpoint("warm");
        Endpoint cold = endpoint("cold");
        cold.restarted(1000, 0);
        for (int i = 0; i < 200; i++) {
            reports.record(1000, warm, inflight(10));
            reports.record(1000, cold, inflight(2)); // a fifth of its capacity
        }
        assertEquals(1, reports.correction(1000, warm), 1e-3);
        assertEquals(1, reports.correction(1000, cold), 1e-3);
    }

    @Test
    void aReportWithoutTheFieldIsIgnored() {
        Endpoint brief = endpoint("brief");
        reports.record(0, brief, new double[] {0.5});
        assertFalse(brief.hasReportedLoad());
        LoadReports without = new LoadReports(List.of("util"), slowStart);
        without.record(0, brief, inflight(3));
        assertFalse(brief.hasReportedLoad());
        reports.record(0, brief, inflight(3));
        assertTrue(brief.hasReportedLoad());
    }
}
