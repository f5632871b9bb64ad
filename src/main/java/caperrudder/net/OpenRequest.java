package caperrudder.net;

import caperrudder.api.Request;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request in the table: its client, until answered or gone, and its attempts. */
final class OpenRequest {
    final Request request;
    final HttpRequest head;
    final RequestBody body; // until the entry leaves the table
    final List<Attempt> attempts = new ArrayList<>(2);
    private ClientServer.Connection client;
    private boolean closed;
    private double deadlineMs;
    Attempt passing; // of which the answer goes to the client as it comes
    int out; // attempts that have not ended
    Future<?> guard;

    OpenRequest(Request request, HttpRequest head, RequestBody body, ClientServer.Connection client) {
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
        return body.isWhole();
    }

    double deadlineMs() {
        return deadlineMs;
    }

    /** The client's time begins now that all has come. */
    void beginsAt(double now) {
        deadlineMs = now + request.deadlineMs() - request.arrivedMs();
    }

    /** For how long a host's answer is waited for. */
    double leftMs(double now) {
        return Math.max(1, isWhole() ? deadlineMs - now : request.deadlineMs() - request.arrivedMs());
    }

    /** The client to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    ClientServer.Connection close(Tally tally, Tally.End end) {
        ClientServer.Connection owed = client;
        if (!closed) {
            tally.ended(request.requestClass(), end);
        }
        closed = true;
        client = null;
        return owed;
    }

    /** The client, to which an answer is being passed on; null once the request has ended. */
    ClientServer.Connection client() {
        return client;
    }
}
