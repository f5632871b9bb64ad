package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.AttemptResult;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.api.Idempotency;
import caperrudder.api.Outcome;
import caperrudder.api.RequestClass;
import caperrudder.api.SiteRules;
import java.util.List;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    private static final RequestClass READ = requestClass("read");
    private static final RequestClass PAY = requestClass("pay");
    private final OutlierDetector detector = new OutlierDetector(List.of(READ, PAY));
    private final Endpoint endpoint = new Endpoint(new Host("h", "a", "std", 0, HostState.RUNNING, 1, 0));

    private static RequestClass requestClass(String name) {
        return new RequestClass(name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1000, 3000, 1, 0, false);
    }

    private void recordResult(RequestClass requestClass, Outcome outcome, double latencyMs) {
        AttemptResult result = new AttemptResult("r", 0, "h", outcome, latencyMs, false, 0, 0, new double[0]);
        detector.recordResult(0, endpoint, requestClass, 10, result);
    }

    @Test
    void responsesWithTheExpectedLatencyAddNoPenalty() {
        for (int i = 0; i < 50; i++) recordResult(READ, Outcome.OK, 10);
        assertEquals(1, endpoint.latencyPenalty(0, "read"), 1e-9);
    }

    @Test
    void slowResponsesRaiseThePenaltyOfAllClasses() {
        for (int i = 0; i < 50; i++) recordResult(READ, Outcome.OK, 30);
        assertEquals(3, endpoint.latencyPenalty(0, "pay"), 0.01);
    }

    @Test
    void errorsOfOneClassDoNotRaiseThePenaltyOfOthers() {
        for (int i = 0; i < 10; i++) recordResult(READ, Outcome.ERROR, 10);
        assertTrue(endpoint.latencyPenalty(0, "read") > 10);
        assertEquals(1, endpoint.latencyPenalty(0, "pay"));
    }

    @Test
    void errorsOfTwoClassesRaiseThePenaltyOfAllClasses() {
        recordResult(READ, Outcome.ERROR, 10);
        assertEquals(1, endpoint.latencyPenalty(0));
        recordResult(PAY, Outcome.TIMEOUT, 10);
        assertTrue(endpoint.latencyPenalty(0) > 4);
    }

    @Test
    void theSecondConnectionFailureInARowEjectsAnEndpoint() {
        recordResult(READ, Outcome.CONNECT_FAILED, 0);
        assertTrue(endpoint.latencyPenalty(0) < OutlierScore.EJECTION_PENALTY);
        recordResult(READ, Outcome.CONNECT_FAILED, 0);
        assertEquals(OutlierScore.MAX_PENALTY, endpoint.latencyPenalty(0), 1e-9);
    }

    @Test
    void aCancelledAttemptIsNotScored() {
        recordResult(READ, Outcome.CANCELLED, 10);
        assertTrue(endpoint.hasNoObservations());
    }

    @Test
    void onlyUsableEndpointsUnderObservationCountAsEjectedOrAsMissingCapacity() {
        SlowStart slowStart = new SlowStart(new SiteRules(8, 500, 2, 1000, 0.2, 10_000, 0));
        for (int i = 0; i < 2; i++) recordResult(READ, Outcome.CONNECT_FAILED, 0);
        detector.startObserving(endpoint);
        assertEquals(0, detector.ejectedCount(0)); // not listed, so not usable
        endpoint.setListed(true);
        assertEquals(1, detector.ejectedCount(0));
        assertEquals(1, detector.missingCapacity(0, slowStart), 1e-9);
        detector.stopObserving(endpoint);
        assertEquals(0, detector.ejectedCount(0));
        assertFalse(endpoint.hasNoObservations());
    }
}
