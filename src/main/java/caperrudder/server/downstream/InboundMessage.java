package caperrudder.server.downstream;

import caperrudder.server.http.RequestBody;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** What a client's connection brought, in its order; each is due one response. */
sealed interface InboundMessage {
    /** Releases what it holds. */
    void release();

    /** A request that has come whole, or of which the body's parts go to the body as they come. */
    record InboundRequest(HttpRequest head, RequestBody body) implements InboundMessage {
        @Override
        public void release() {
            body.discard();
        }
    }

    /** In the place of a request that can't be read: the connection ends with this response. */
    record UnreadableRequest(HttpResponseStatus status) implements InboundMessage {
        @Override
        public void release() {}
    }
}
