package caperrudder.server;

import caperrudder.api.Request;
import caperrudder.server.admin.RequestCounters;
import caperrudder.server.downstream.ClientConnection;
import caperrudder.server.downstream.ReceivedRequest;
import caperrudder.server.http.RequestBody;
import caperrudder.server.upstream.ForwardedRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request in the dispatcher's table: its client, until answered or gone, and its attempts. */
final class OpenRequest implements ReceivedRequest, ForwardedRequest {
    private final RequestDispatcher dispatcher;
    private final Request request;
    private final HttpRequest head;
    private final RequestBody body; // until the entry leaves the table
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private ClientConnection client; // null once closed
    private boolean closed;
    private double deadlineAtMs;
    private UpstreamAttempt streaming; // of which the response goes to the client as it comes
    private int attemptsUnderWay;
    private Future<?> deadlineTimer;

    OpenRequest(
            RequestDispatcher dispatcher,
            Request request,
            HttpRequest head,
            RequestBody body,
            ClientConnection client) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.head = head;
        this.body = body;
        this.client = client;
        this.deadlineAtMs = request.deadlineAtMs();
    }

    @Override
    public String id() {
        return request.id();
    }

    @Override
    public HttpRequest head() {
        return head;
    }

    @Override
    public RequestBody body() {
        return body;
    }

    // ---- its client

    @Override
    public void completed() {
        dispatcher.completed(this);
    }

    @Override
    public void clientDisconnected() {
        dispatcher.clientDisconnected(this);
    }

    /** The client, to which a response is being passed on; null once the request is closed. */
    ClientConnection client() {
        return client;
    }

    /** Whether it has its response, or nobody waits for one. */
    boolean isClosed() {
        return closed;
    }

    /** The client to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    ClientConnection close(RequestCounters counters, RequestCounters.End end) {
        ClientConnection owed = client;
        if (!closed) {
            counters.ended(request.requestClass(), end);
        }
        closed = true;
        client = null;
        return owed;
    }

    // ---- its time

    /** Whether the client's time runs: its last byte has come. */
    boolean isComplete() {
        return body.isComplete();
    }

    double deadlineAtMs() {
        return deadlineAtMs;
    }

    /**
     * By when a request must be answered whose end has not been read: its client may have written that right after it
     * was last known not to have.
     */
    double uploadDeadlineAtMs() {
        return Math.max(body.unfinishedAtMs(), request.arrivedAtMs()) + request.deadlineAtMs() - request.arrivedAtMs();
    }

    /** By when the request must be answered, as far as is known now. */
    double answerDueAtMs() {
        return isComplete() ? deadlineAtMs : uploadDeadlineAtMs();
    }

    /** The client's time begins now that all has come. */
    void startTime(double nowMs) {
        deadlineAtMs = nowMs + request.deadlineAtMs() - request.arrivedAtMs();
    }

    @Override
    public double timeLeftMs(double nowMs) {
        return Math.max(1, isComplete() ? deadlineAtMs - nowMs : request.deadlineAtMs() - request.arrivedAtMs());
    }

    /** Replaces the timer that was set before. */
    void setDeadlineTimer(Future<?> timer) {
        cancelDeadlineTimer();
        deadlineTimer = timer;
    }

    private void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }

    /** Lets go of what it holds, as it leaves the table. */
    void release() {
        cancelDeadlineTimer();
        body.discard();
    }

    // ---- its attempts

    /** A further attempt, which is under way from now on. */
    UpstreamAttempt addAttempt(String host, double nowMs) {
        UpstreamAttempt attempt = new UpstreamAttempt(dispatcher, this, attempts.size(), host, nowMs);
        attempts.add(attempt);
        attemptsUnderWay++;
        return attempt;
    }

    /** The attempt of this number, from 0 on; null where there is none. */
    UpstreamAttempt attempt(int number) {
        return number < 0 || number >= attempts.size() ? null : attempts.get(number);
    }

    /** All attempts up to now, of which further ones may be made meanwhile. */
    List<UpstreamAttempt> attemptsUpToNow() {
        return List.copyOf(attempts);
    }

    void attemptEnded() {
        attemptsUnderWay--;
    }

    boolean hasAttempts() {
        return attemptsUnderWay > 0;
    }

    /** The attempt of which the response goes to the client as it comes; null where there is none. */
    UpstreamAttempt streaming() {
        return streaming;
    }

    /** Whether something of its response has left for the client. */
    boolean hasResponseBegun() {
        return client != null && streaming != null && client.hasResponseBegun();
    }

    /** From now on the response of this attempt goes to the client as it comes; of none where null. */
    void setStreaming(UpstreamAttempt attempt) {
        streaming = attempt;
    }
}
