package caperrudder.server;

import caperrudder.api.Request;
import caperrudder.server.admin.RequestCounters;
import caperrudder.server.downstream.DownstreamServer;
import caperrudder.server.http.RequestBody;
import caperrudder.server.upstream.UpstreamAttempt;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request in the table: its client, until answered or gone, and its attempts. */
public final class OpenRequest {
    public final Request request;
    public final HttpRequest head;
    public final RequestBody body; // until the entry leaves the table
    public final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private DownstreamServer.Connection client;
    private boolean closed;
    private double deadlineMs;
    UpstreamAttempt passing; // of which the answer goes to the client as it comes
    int out; // attempts that have not ended
    Future<?> guard;

    OpenRequest(Request request, HttpRequest head, RequestBody body, DownstreamServer.Connection client) {
        this.request = request;
        this.head = head;
        this.body = body;
        this.client = client;
        this.deadlineMs = request.deadlineMs();
    }

    boolean closed() {
        return closed;
    }

    /** Whether the client's time runs: its last byte has come. */
    boolean isWhole() {
        return body.isComplete();
    }

    double deadlineMs() {
        return deadlineMs;
    }

    /** The client's time begins now that all has come. */
    void beginsAt(double now) {
        deadlineMs = now + request.deadlineMs() - request.arrivedMs();
    }

    /** For how long a host's answer is waited for. */
    public double leftMs(double now) {
        return Math.max(1, isWhole() ? deadlineMs - now : request.deadlineMs() - request.arrivedMs());
    }

    /** The client to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    DownstreamServer.Connection close(RequestCounters tally, RequestCounters.End end) {
        DownstreamServer.Connection owed = client;
        if (!closed) {
            tally.ended(request.requestClass(), end);
        }
        closed = true;
        client = null;
        return owed;
    }

    /** The client, to which an answer is being passed on; null once the request has ended. */
    DownstreamServer.Connection client() {
        return client;
    }
}
