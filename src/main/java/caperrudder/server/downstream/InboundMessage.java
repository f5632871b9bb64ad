package caperrudder.server.downstream;

import caperrudder.server.http.RequestBody;
import caperrudder.server.runtime.ProtectionCounters.Reason;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/** What a client's connection brought, in its order; each is due one response. */
sealed interface InboundMessage {
    /** Releases what it holds. */
    void release();

    /** The bytes that it holds. */
    int heldBytes();

    /** A request that has come whole, or of which the body's parts go to the body as they come. */
    record InboundRequest(HttpRequest head, RequestBody body) implements InboundMessage {
        @Override
        public void release() {
            body.discard();
        }

        @Override
        public int heldBytes() {
            return body.heldBytes();
        }
    }

    /**
     * In the place of a request that can't be read: the connection ends with this response.
     *
     * @param reason the limit that it exceeds; empty where it is malformed
     */
    record UnreadableRequest(HttpResponseStatus status, Optional<Reason> reason) implements InboundMessage {
        @Override
        public void release() {}

        @Override
        public int heldBytes() {
            return 0;
        }
    }
}
