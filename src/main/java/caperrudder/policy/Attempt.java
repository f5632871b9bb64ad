package caperrudder.policy;

import caperrudder.api.Outcome;
import caperrudder.policy.loadbalancing.Endpoint;

/**
 * One attempt of a request at an endpoint. An attempt is open until its result is reported. It is working, and holds a
 * slot of the concurrency limit, from the time when its request has been sent completely until its response begins or
 * the attempt ends. Times are milliseconds of the policy's clock. Confined to the policy's thread.
 */
final class Attempt {
    private final PendingRequest request;
    private final int number;
    private final Endpoint endpoint;
    private final double expectedWorkMs;
    private double sentAt;
    private double stalledMsAtStart; // total stalls of the event loop before the work began
    private boolean open = true;
    private boolean working;
    private boolean overdue;
    private Delivery delivery = Delivery.MAY_HAVE_RUN;

    /** How far the request may have come at the endpoint, as known from the attempt's result. */
    private enum Delivery {
        /** The endpoint may have run the request, or may still run it. */
        MAY_HAVE_RUN,
        /** The endpoint received the complete request but did not run it. */
        REJECTED,
        /** The endpoint never received the complete request. */
        NOT_DELIVERED
    }

    /** Creates attempt {@code number} of the request, counted from 0, whose first byte is sent at {@code now}. */
    Attempt(PendingRequest request, int number, Endpoint endpoint, double now) {
        this.request = request;
        this.number = number;
        this.endpoint = endpoint;
        this.expectedWorkMs = request.expectedWorkMs();
        this.sentAt = now;
    }

    PendingRequest request() {
        return request;
    }

    int number() {
        return number;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the latency in milliseconds that was expected when the attempt was sent. */
    double expectedWorkMs() {
        return expectedWorkMs;
    }

    /** Returns the time when the request was sent completely; until then, the time of its first byte. */
    double sentAt() {
        return sentAt;
    }

    /**
     * Records that the request has been sent completely, so that the endpoint works on it.
     *
     * @param totalStalledMs total duration of the event loop's stalls so far
     */
    void startWork(double now, double totalStalledMs) {
        working = true;
        sentAt = now;
        stalledMsAtStart = totalStalledMs;
    }

    /** Records that the response has begun or the attempt has ended. */
    void endWork() {
        working = false;
    }

    /** Whether the endpoint works on the attempt. */
    boolean isWorking() {
        return working;
    }

    /** Records the outcome that was reported for the attempt. */
    void recordOutcome(Outcome outcome) {
        open = false;
        if (!outcome.provesNotExecuted()) return;
        delivery = outcome == Outcome.REJECTED ? Delivery.REJECTED : Delivery.NOT_DELIVERED;
    }

    /** Whether no result has been reported yet. */
    boolean isOpen() {
        return open;
    }

    /** Whether the endpoint may have run the request; false only if it is known not to have. */
    boolean mayHaveRun() {
        return delivery == Delivery.MAY_HAVE_RUN;
    }

    /** Whether the endpoint may have received the complete request; false only if it is known not to have. */
    boolean mayHaveBeenDelivered() {
        return delivery != Delivery.NOT_DELIVERED;
    }

    /**
     * Returns the time since the work began, without the event loop's stalls.
     *
     * @param totalStalledMs total duration of the event loop's stalls so far
     */
    double elapsedMs(double now, double totalStalledMs) {
        return now - sentAt - (totalStalledMs - stalledMsAtStart);
    }

    /** Records that the attempt is overdue, so that it counts against its endpoint only once. */
    void markOverdue() {
        overdue = true;
    }

    boolean isOverdue() {
        return overdue;
    }
}
