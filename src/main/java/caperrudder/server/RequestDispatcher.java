package caperrudder.server;

import caperrudder.api.AttemptResult;
import caperrudder.api.Outcome;
import caperrudder.api.Request;
import caperrudder.server.admin.RequestCounters;
import caperrudder.server.downstream.ClientConnection;
import caperrudder.server.downstream.RequestHandler;
import caperrudder.server.http.RequestBody;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.Log;
import caperrudder.server.upstream.LoadReportParser;
import caperrudder.server.upstream.UpstreamClient;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The table of open requests: notifies the policy of what becomes of them, carries out what it decides of them, and
 * sees to it that each gets exactly one response in time. On the event loop only.
 */
final class RequestDispatcher implements RequestHandler {
    private static final Log LOG = Log.of("gateway");
    private static final double[] NO_REPORT = {};
    private static final double NO_RETRY_AFTER = 0;
    private static final double ACTUAL_UNITS_NOT_REPORTED = 0;

    private final EventLoopContext eventLoop;
    private final int maxOpen;
    private final int maxAttempts;
    private final RequestCounters counters;
    private final PolicyEventQueue policy;
    private final UpstreamClient upstream;
    private final LoadReportParser loadReports;
    private final RequestDeadlines deadlines;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private boolean sendingStopped; // the drain's time is up

    /**
     * Begins with no open request.
     *
     * @param maxOpen how many requests may be open at a time
     * @param maxAttempts how many attempts may be sent of one request
     */
    RequestDispatcher(
            EventLoopContext eventLoop,
            int maxOpen,
            int maxAttempts,
            RequestCounters counters,
            PolicyEventQueue policy,
            UpstreamClient upstream,
            LoadReportParser loadReports) {
        this.eventLoop = eventLoop;
        this.maxOpen = maxOpen;
        this.maxAttempts = maxAttempts;
        this.counters = counters;
        this.policy = policy;
        this.upstream = upstream;
        this.loadReports = loadReports;
        this.deadlines = new RequestDeadlines(eventLoop, this::deadlinePassed);
    }

    double now() {
        return eventLoop.clock().now();
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** How many requests have come whole and have no response yet. */
    long waitingRequests() {
        return open.values().stream()
                .filter(r -> !r.isClosed() && r.isComplete())
                .count();
    }

    // ---- what clients do

    @Override
    public boolean isOpen(String requestId) {
        return open.containsKey(requestId);
    }

    @Override
    public boolean isFull() {
        return open.size() >= maxOpen;
    }

    @Override
    public void rejectedAtCapacity(String requestClass) {
        counters.ended(requestClass, RequestCounters.End.DEFERRED);
    }

    @Override
    public void received(Request request, HttpRequest head, RequestBody body, ClientConnection client) {
        OpenRequest entry = new OpenRequest(this, request, head, body, client);
        open.put(request.id(), entry);
        client.open(entry);
        deadlines.start(entry);
        policy.post((now, p) -> p.requestReceived(now, request));
    }

    /** The last byte has come of a request that was received before. */
    void completed(OpenRequest request) {
        request.startTime(now() - eventLoop.lag().ms());
        deadlines.start(request);
        policy.post((now, p) -> p.requestBodyCompleted(now, request.id(), request.deadlineAtMs()));
    }

    void clientDisconnected(OpenRequest request) {
        if (request.isClosed()) {
            return;
        }
        request.close(counters, RequestCounters.End.ERRORED);
        policy.post((now, p) -> p.clientDisconnected(now, request.id()));
        UpstreamAttempt streaming = request.streaming();
        if (streaming != null) {
            abandon(streaming, Outcome.CANCELLED);
        }
        removeIfOver(request);
    }

    /** Whether a client waits for it: asked before anything is sent, however late the loop comes to its sockets. */
    boolean isAwaited(OpenRequest request) {
        return !request.isClosed() && request.client().isConnected();
    }

    // ---- deadlines

    /** Rule 1: attempts end with the client's time, and what the policy then leaves unanswered fails here. */
    private void deadlinePassed(OpenRequest request) {
        if (request.hasResponseBegun()
                && (request.streaming().isLong() || !request.client().isWritable())) {
            return; // the first bytes came in time, and the rest has the client's
        }
        endAttempts(request); // a short response that goes on and on is none: its client sees that it is not whole
        if (!request.isClosed()) {
            LOG.error("no decision before the deadline, request failed");
            terminate(request, HttpResponseStatus.GATEWAY_TIMEOUT);
        }
    }

    /**
     * Fails a request without attempts that the policy has not answered, and notifies the policy that it is over: else
     * the policy would send it later, and wait for the end of an attempt that is none.
     */
    private void terminate(OpenRequest request, HttpResponseStatus status) {
        answer(request, RequestCounters.End.ERRORED, status, NO_RETRY_AFTER);
        policy.post((now, p) -> p.requestTerminated(now, request.id()));
    }

    private void endAttempts(OpenRequest request) {
        for (UpstreamAttempt attempt : request.attemptsUpToNow()) {
            if (!attempt.hasEnded()) {
                // Without its last byte no host runs the request, so that a retry is harmless.
                abandon(attempt, attempt.isSent() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
            }
        }
    }

    private void abandon(UpstreamAttempt attempt, Outcome outcome) {
        attempt.abandon();
        attemptEnded(attempt, outcome, null);
    }

    // ---- what becomes of attempts

    /** The last byte of an attempt has left for its host. */
    void attemptSent() {
        counters.sent();
    }

    /** A part of the request has left and is kept nowhere. */
    void bodyPartSent(OpenRequest request) {
        policy.post((now, p) -> p.requestNotReplayable(now, request.id()));
    }

    /** A response is to be passed on as it comes; false where the client has its response or is gone. */
    boolean responseStarted(UpstreamAttempt attempt, HttpResponse head) {
        OpenRequest request = attempt.request();
        if (attempt.hasEnded() || request.isClosed()) {
            return false;
        }
        request.setStreaming(attempt);
        request.client().beginResponse(head, attempt);
        return true;
    }

    /** A part of that response, which is taken over. */
    void responsePart(UpstreamAttempt attempt, ByteBuf part) {
        OpenRequest request = attempt.request();
        ClientConnection client = request.client();
        if (client == null) {
            part.release();
            return;
        }
        client.writePart(part);
        if (attempt.isFirstPart()) {
            policy.post((now, p) -> p.responseStarted(now, request.id(), attempt.number()));
        }
    }

    /** The end of an attempt, reported once; the first whole 200 goes to the client unchanged. */
    void attemptEnded(UpstreamAttempt attempt, Outcome outcome, FullHttpResponse response) {
        if (attempt.hasEnded()) {
            return;
        }
        attempt.end();
        OpenRequest request = attempt.request();
        request.attemptEnded();
        answerClient(attempt, outcome, response);
        postResult(attempt, outcome, response);
        removeIfOver(request);
    }

    private void answerClient(UpstreamAttempt attempt, Outcome outcome, FullHttpResponse response) {
        OpenRequest request = attempt.request();
        boolean served = outcome == Outcome.OK;
        if (!served) {
            withdrawUnlessBegun(attempt);
        }
        if (request.streaming() == attempt) {
            ClientConnection client =
                    request.close(counters, served ? RequestCounters.End.ANSWERED : RequestCounters.End.ERRORED);
            if (client != null) {
                client.endResponse(served);
            }
        } else if (served) {
            ClientConnection client = request.close(counters, RequestCounters.End.ANSWERED);
            if (client != null) {
                client.relay(response);
            }
        }
    }

    /** A response that broke before anything of it had left is none: the request is retried or answered by itself. */
    private static void withdrawUnlessBegun(UpstreamAttempt attempt) {
        OpenRequest request = attempt.request();
        if (request.streaming() == attempt && !request.isClosed() && !request.hasResponseBegun()) {
            request.setStreaming(null);
            request.client().withdrawResponse();
        }
    }

    private void postResult(UpstreamAttempt attempt, Outcome outcome, FullHttpResponse response) {
        OpenRequest request = attempt.request();
        boolean closed = request.isClosed();
        double latencyMs = attempt.latencyMs(now());
        HttpResponse head = attempt.responseHead(response);
        double[] report = head == null ? NO_REPORT : loadReports.read(head);
        int quotaUsedPercentPlusOne = head == null ? 0 : LoadReportParser.quotaUsedPercentPlusOne(head);
        policy.post((now, p) -> p.attemptEnded(
                now,
                new AttemptResult(
                        request.id(),
                        attempt.number(),
                        attempt.host(),
                        outcome,
                        latencyMs,
                        closed,
                        quotaUsedPercentPlusOne,
                        ACTUAL_UNITS_NOT_REPORTED,
                        report)));
    }

    private void removeIfOver(OpenRequest request) {
        if (request.isClosed() && !request.hasAttempts() && open.remove(request.id(), request)) {
            request.release();
        }
    }

    // ---- what the policy does

    /** Sends an attempt, unless its client is gone, its time is up or too many were sent. */
    void send(String id, String host, double timeoutMs) {
        OpenRequest request = open.get(id);
        if (request == null) {
            LOG.error("attempt of a request that is over");
            policy.post((now, p) -> p.requestTerminated(now, id));
            return;
        }
        double now = now();
        UpstreamAttempt attempt = request.addAttempt(host, now);
        if (!isAwaited(request)) {
            clientDisconnected(request); // not notified yet where only unread bytes in the socket show it
        }
        if (!maySend(attempt, now)) {
            attemptEnded(attempt, Outcome.NOT_SENT, null);
            return;
        }
        if (timeoutMs > 0) {
            attempt.setTimeout(eventLoop.schedule(() -> abandon(attempt, Outcome.TIMEOUT), timeoutMs));
        }
        upstream.send(host, attempt, request);
    }

    private boolean maySend(UpstreamAttempt attempt, double nowMs) {
        OpenRequest request = attempt.request();
        return !sendingStopped
                && !request.isClosed()
                && nowMs < request.answerDueAtMs()
                && attempt.number() < maxAttempts;
    }

    /** Ends an attempt without its response. */
    void cancel(String id, int number) {
        OpenRequest request = open.get(id);
        UpstreamAttempt attempt = request == null ? null : request.attempt(number);
        if (attempt != null && !attempt.hasEnded()) {
            abandon(attempt, Outcome.CANCELLED);
        }
    }

    /** Answers that a retry is harmless, after {@code retryAfterMs}. */
    void reject(String id, double retryAfterMs) {
        answer(open.get(id), RequestCounters.End.DEFERRED, HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    /** Answers that the request has failed. */
    void fail(String id) {
        answer(open.get(id), RequestCounters.End.ERRORED, HttpResponseStatus.BAD_GATEWAY, NO_RETRY_AFTER);
    }

    private void answer(OpenRequest request, RequestCounters.End end, HttpResponseStatus status, double retryAfterMs) {
        if (request == null) {
            return; // it is over
        }
        ClientConnection client = request.close(counters, end);
        if (client != null) {
            client.reply(status, retryAfterMs);
        }
        removeIfOver(request);
    }

    // ---- the end of a drain

    /** From now on no attempt is sent. */
    void stopSending() {
        sendingStopped = true;
    }

    /** Gives up every attempt, and fails what is not answered then; only responses that have begun for their clients go on. */
    void endAll() {
        List<OpenRequest> unanswered =
                open.values().stream().filter(r -> !r.hasResponseBegun()).toList();
        for (OpenRequest request : unanswered) {
            endAttempts(request); // the policy rejects or fails it, as its further attempts are void now
        }
        for (OpenRequest request : List.copyOf(open.values())) {
            if (!request.isClosed() && !request.hasResponseBegun()) { // still held
                terminate(request, HttpResponseStatus.BAD_GATEWAY);
            }
        }
    }
}
