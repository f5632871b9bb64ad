package caperrudder.policy;

import caperrudder.api.Outcome;
import caperrudder.policy.loadbalancing.Endpoint;

/**
 * One attempt of a request at an endpoint. It is open until its end is reported. It works, and takes a slot, from when
 * its request has been sent whole until its response begins. Confined to the policy's thread.
 */
final class Attempt {
    private final PendingRequest request;
    private final int number;
    private final Endpoint endpoint;
    private final double expectedWorkMs;
    private double sentAt; // when the request was sent whole
    private double stalledBeforeMs; // stalls of the event loop before it began to work, in all
    private boolean open = true;
    private boolean working;
    private boolean overdue;
    private Delivery delivery = Delivery.MAY_HAVE_RUN;

    /** What an endpoint may have done with the request, as far as the attempt's end tells. */
    private enum Delivery {
        /** The endpoint may have run it, or may yet. */
        MAY_HAVE_RUN,
        /** It came whole to the endpoint, which did not run it. */
        REJECTED,
        /** It never came whole to the endpoint. */
        NOT_DELIVERED
    }

    /** Attempt {@code number}, from 0, whose first byte is sent at {@code now}. */
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

    /** Time that it was expected to take when it was sent, in milliseconds. */
    double expectedWorkMs() {
        return expectedWorkMs;
    }

    /** When it was sent, whole as far as known. */
    double sentAt() {
        return sentAt;
    }

    /** The request has been sent whole: the endpoint works on it. {@code stalledMs}: of the event loop up to now. */
    void beginWork(double now, double stalledMs) {
        working = true;
        sentAt = now;
        stalledBeforeMs = stalledMs;
    }

    /** The response has begun, or the attempt has ended. */
    void endWork() {
        working = false;
    }

    boolean isWorking() {
        return working;
    }

    /** The end of the attempt was reported. */
    void end(Outcome outcome) {
        open = false;
        if (!outcome.neverRan()) return;
        delivery = outcome == Outcome.REJECTED ? Delivery.REJECTED : Delivery.NOT_DELIVERED;
    }

    boolean isOpen() {
        return open;
    }

    /** False where the endpoint is known never to have run the request. */
    boolean mayHaveRun() {
        return delivery == Delivery.MAY_HAVE_RUN;
    }

    /** False where the request is known never to have come whole to the endpoint. */
    boolean mayHaveArrived() {
        return delivery != Delivery.NOT_DELIVERED;
    }

    /** Time that it has worked without the event loop's stalls; {@code stalledMs}: of the event loop up to now. */
    double elapsedMs(double now, double stalledMs) {
        return now - sentAt - (stalledMs - stalledBeforeMs);
    }

    /** It has taken too long once: that counts against its endpoint, once. */
    void markOverdue() {
        overdue = true;
    }

    boolean isOverdue() {
        return overdue;
    }
}
