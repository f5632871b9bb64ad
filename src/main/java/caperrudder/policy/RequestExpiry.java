package caperrudder.policy;

import caperrudder.api.RequestClass;

/**
 * Computes when a waiting request must be answered by this gateway (rule 1), and from when on dispatching it is useless
 * because its response would come too late.
 */
final class RequestExpiry {
    private static final double DEADLINE_MARGIN_MS = 40; // two timer ticks
    private static final double UNDELIVERED_DEADLINE_SHARE = 0.4; // time allowed to requests that no host has received
    private static final double MIN_USEFUL_LATE_VALUE = 0.5; // a late response of less value is not worth a slot
    private static final double MIN_REMAINING_WORK_MULTIPLE = 3; // expected latencies that must be left at dispatch
    private static final double MIN_QUEUE_DELAY_OBJECTIVE_SHARE = 0.1; // queue delay allowed to any request

    private RequestExpiry() {}

    /** Returns the latest time to answer a request, in milliseconds of the policy's clock. */
    static double answerDueAt(PendingRequest request) {
        return request.deadline() - DEADLINE_MARGIN_MS;
    }

    /** Returns the time from which a request is not worth dispatching, in milliseconds of the policy's clock. */
    static double expiresAt(PendingRequest request) {
        double latestAt = answerDueAt(request);
        if (request.mayHaveRun()) return latestAt;
        double arrivedAt = request.arrivedAt();
        if (!request.mayHaveBeenDelivered()) {
            // A request that no host has received is answered before half of the client's time is lost.
            double timeToDeadlineMs = request.deadline() - arrivedAt;
            latestAt = Math.min(latestAt, arrivedAt + UNDELIVERED_DEADLINE_SHARE * timeToDeadlineMs);
        }
        RequestClass requestClass = request.trafficClass().requestClass();
        double objectiveMs = requestClass.latencyObjectiveMs();
        double usefulUntil = requestClass.lateValueShare() >= MIN_USEFUL_LATE_VALUE
                ? latestAt
                : Math.min(latestAt, arrivedAt + objectiveMs);
        double queueDelayMs = usefulUntil - arrivedAt - MIN_REMAINING_WORK_MULTIPLE * request.expectedWorkMs();
        return Math.min(latestAt, arrivedAt + Math.max(MIN_QUEUE_DELAY_OBJECTIVE_SHARE * objectiveMs, queueDelayMs));
    }
}
