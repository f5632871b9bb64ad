package caperrudder.server.downstream;

import caperrudder.api.Request;
import caperrudder.server.http.RequestBody;
import caperrudder.server.http.RequestHeaders;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.ProtectionCounters.Reason;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Decides what becomes of a request that has its turn: health checks, malformed requests and those for which there is
 * no capacity are answered here, all others are handed over. On the event loop only.
 */
final class RequestRouter {
    private static final String HEALTH_PATH = "/healthz";
    private static final double NO_RETRY_AFTER = 0;

    private final EventLoopContext eventLoop;
    private final RequestParser parser;
    private final RequestHandler handler;
    private final DrainStatus drain;
    private final double retryAfterMs;

    /** {@code retryAfterMs}: for how long a client is asked to stay away where the handler is full. */
    RequestRouter(
            EventLoopContext eventLoop,
            RequestParser parser,
            RequestHandler handler,
            DrainStatus drain,
            double retryAfterMs) {
        this.eventLoop = eventLoop;
        this.parser = parser;
        this.handler = handler;
        this.drain = drain;
        this.retryAfterMs = retryAfterMs;
    }

    /** Takes the body over. */
    void route(HttpRequest head, RequestBody body, ClientConnection client) {
        if (head.uri().equals(HEALTH_PATH)) {
            body.discard();
            client.reply(
                    drain.isLeavingAddress() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                    NO_RETRY_AFTER);
            return;
        }
        double now = eventLoop.clock().now();
        Request request = parser.parse(head, body, now, now - eventLoop.lag().ms());
        if (request == null || handler.isOpen(request.id())) {
            rejectBad(head, body, client);
        } else if (handler.isFull()) {
            body.discard();
            eventLoop.protections().count(Reason.OPEN_REQUESTS);
            handler.rejectedAtCapacity(request.requestClass());
            client.reply(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
        } else {
            client.requestHandedOver();
            handler.received(request, head, body, client);
        }
    }

    private static void rejectBad(HttpRequest head, RequestBody body, ClientConnection client) {
        boolean unknown = !head.headers().contains(RequestHeaders.TRACE_ID);
        body.discard();
        client.badRequest();
        client.reply(unknown ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, NO_RETRY_AFTER);
    }
}
