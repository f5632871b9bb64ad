package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import caperrudder.api.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What one gateway of many does with the meter's figure of a customer. */
class MeteredQuotaTest {
    private static final int GATEWAYS = 20;
    private static final long CUSTOMER = 42;

    private final PolicyHarness gateway =
            new PolicyHarness(1000, PolicyHarness.metered(3, GATEWAYS, 7)).withHosts("a1", "a2");

    private void request(String id, String plan, double units) {
        gateway.request(id, "read", plan, CUSTOMER, units, GATEWAYS);
    }

    /** The request is served; the response carries the meter's figure. */
    private void endWithMeterFigure(String id, int percentUsed) {
        gateway.advance(50);
        gateway.endAttempt(id, 0, Outcome.OK, 50, 1 + percentUsed);
    }

    @Test
    void concurrencyLimitUsedUpByOthersAdmitsNoFurtherRequest() {
        request("first", "open", 1);
        endWithMeterFigure("first", 150); // three were open at once, two of them elsewhere; the limit is two
        request("second", "open", 1);
        assertEquals(List.of("second"), gateway.rejected);
    }

    @Test
    void requestsOpenElsewhereAreForgottenAfterAWhile() {
        request("first", "open", 1);
        endWithMeterFigure("first", 150);
        gateway.advance(5100);
        request("second", "open", 1);
        assertEquals(List.of(), gateway.rejected);
    }

    @Test
    void concurrencyLimitThatNoOtherUsesIsUsedWhole() {
        gateway.request("first", "read", "open", CUSTOMER, 1, 2);
        endWithMeterFigure("first", 50); // one was open: its own
        for (String id : List.of("second", "third", "fourth")) {
            gateway.request(id, "read", "open", CUSTOMER, 1, 2);
            gateway.advance(20);
        }
        assertEquals(List.of("fourth"), gateway.rejected);
    }

    @Test
    void admissionsArePacedByTheLimitInALargeReplicaSet() {
        request("first", "open", 1);
        endWithMeterFigure("first", 0); // the meter is late: it shows nothing of a burst that has begun
        request("second", "open", 1); // 50 ms after the first; a quarter of twenty in turn keep two slots for 125
        assertEquals(List.of("second"), gateway.rejected);
        gateway.advance(100);
        request("third", "open", 1);
        assertEquals(List.of("second"), gateway.rejected);
    }

    @Test
    void shareOfTheBurstIsLessThanARequestInALargeReplicaSet() {
        request("first", "small", 1);
        endWithMeterFigure("first", 1000);
        request("second", "small", 3);
        assertEquals(List.of("second"), gateway.rejected);
    }

    @Test
    void useByOthersOverTheRateEmptiesTheBucket() {
        request("first", "small", 1);
        endWithMeterFigure("first", 130);
        request("second", "small", 4);
        request("more", "small", 3); // of seven left by the figure; others use what fills the bucket, and more
        assertEquals(List.of("more"), gateway.rejected);
    }
}
