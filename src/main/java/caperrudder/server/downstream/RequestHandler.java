package caperrudder.server.downstream;

import caperrudder.api.Request;
import caperrudder.server.http.RequestBody;
import io.netty.handler.codec.http.HttpRequest;

/** Where client connections hand over the requests that they have read; called on the event loop. */
public interface RequestHandler {
    /** Whether a request of this id is open: a second one would be answered with what was made for the first. */
    boolean isOpen(String requestId);

    /** Whether no further request can be taken for now. */
    boolean isFull();

    /** A request of this class was rejected since the handler {@link #isFull}. */
    void rejectedAtCapacity(String requestClass);

    /**
     * Takes a request, whole or with its body on its way. The handler owns the body from here on, has the connection
     * {@linkplain ClientConnection#open hold} the request, and gives it exactly one response, perhaps at once.
     */
    void received(Request request, HttpRequest head, RequestBody body, ClientConnection client);
}
