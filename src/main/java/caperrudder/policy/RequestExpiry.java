package caperrudder.policy;

import caperrudder.api.RequestClass;

/** When a request that waits here must have left or be answered here (rule 1, and no work for late responses). */
final class RequestExpiry {
    private static final double DEADLINE_MARGIN_MS = 40; // answered this long before the deadline: two timer ticks
    private static final double UNDELIVERED_SHARE = 0.4; // of its time: then what never came to a host is decided
    private static final double LATE_VALUE_KEPT = 0.5; // value of a late response from which it merits a slot
    private static final double MIN_WORK_MULTIPLE = 3; // expected times that a waiting request must still have
    private static final double MIN_HOLD_SHARE = 0.1; // share of the latency objective that any request may wait

    private RequestExpiry() {}

    /** When this gateway must answer a request at the latest, in milliseconds of the policy's clock. */
    static double answerDueAt(PendingRequest request) {
        return request.deadline() - DEADLINE_MARGIN_MS;
    }

    /** From when on a request is not worth dispatching any more, in milliseconds of the policy's clock. */
    static double expiresAt(PendingRequest request) {
        double latest = answerDueAt(request);
        if (request.mayHaveRun()) return latest;
        double arrivedAt = request.arrivedAt();
        if (!request.mayHaveArrivedAtHost()) {
            // What reached no host by half of the client's time has cost it that time for nothing.
            double time = request.deadline() - arrivedAt;
            latest = Math.min(latest, arrivedAt + UNDELIVERED_SHARE * time);
        }
        RequestClass spec = request.trafficClass().spec();
        double objectiveMs = spec.latencyObjectiveMs();
        double usefulUntil = spec.lateValue() >= LATE_VALUE_KEPT ? latest : Math.min(latest, arrivedAt + objectiveMs);
        double holdMs = usefulUntil - arrivedAt - MIN_WORK_MULTIPLE * request.expectedWorkMs();
        return Math.min(latest, arrivedAt + Math.max(MIN_HOLD_SHARE * objectiveMs, holdMs));
    }
}
