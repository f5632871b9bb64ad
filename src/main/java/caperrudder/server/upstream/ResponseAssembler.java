package caperrudder.server.upstream;

import caperrudder.api.Outcome;
import caperrudder.server.http.BodyBuffer;
import caperrudder.server.http.MessageBodies;
import caperrudder.server.runtime.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/** Puts the responses on one connection together, or streams them where they are too long to be buffered. */
final class ResponseAssembler {
    private static final int INTERIM_MAX = 16; // 1xx responses ahead of one
    static final AsciiString NEVER_RAN_HEADER = AsciiString.cached("X-Never-Ran");
    private static final String NEVER_RAN = "1";

    private final UpstreamConnection connection;
    private final BufferBudget budget;
    private HttpResponse head; // of the response that is being read
    private final BodyBuffer body = new BodyBuffer();
    private int interimResponses;
    private int streamedFromBytes; // a longer response is streamed
    private long streamedBytes;
    private boolean streaming;

    ResponseAssembler(UpstreamConnection connection, BufferBudget budget) {
        this.connection = connection;
        this.budget = budget;
    }

    /** Another exchange begins. */
    void reset() {
        streaming = false;
        interimResponses = 0;
    }

    /** The connection has ended. */
    void release() {
        body.release();
    }

    boolean isStreaming() {
        return streaming;
    }

    /** Reads a head. */
    void begin(HttpResponse response) {
        head = response;
        long length = HttpUtil.getContentLength(response, -1L);
        if (length > MessageBodies.MAX_BYTES
                || (isInterim() && ++interimResponses > INTERIM_MAX)
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            connection.malformed();
        }
        streamedFromBytes = budget.streamedFromBytes(length);
    }

    private boolean isInterim() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** Reads a part of the body, or its end. */
    void addContent(HttpContent content) {
        int length = content.content().readableBytes();
        if (!streaming && !isInterim() && body.length() + length > Math.min(streamedFromBytes, budget.windowBytes())) {
            startStreaming();
            if (!connection.isInUse()) {
                return;
            }
        }
        if (streaming) {
            streamedBytes += length;
            if (streamedBytes > MessageBodies.MAX_BYTES) { // of a response that did not tell its length
                connection.malformed();
                return;
            }
            stream(content.content().retain());
        } else {
            body.add(content.content());
        }
        if (content instanceof LastHttpContent) {
            end();
        }
    }

    // ---- streaming

    /** Streams the response that is being read, if it is still buffered and something of its body has come. */
    void streamBuffered() {
        if (!streaming && head != null && !isInterim() && body.length() > 0) {
            startStreaming();
        }
    }

    /** Goes on with the response as it comes; one that is not served has said all with its head. */
    private void startStreaming() {
        if (!head.status().equals(HttpResponseStatus.OK)) {
            FullHttpResponse headAlone = whole(Unpooled.EMPTY_BUFFER);
            connection.end(outcome(headAlone), headAlone);
            connection.close();
        } else if (connection.responseStarted(head)) {
            streaming = true;
            streamedBytes = body.length();
            stream(body.take());
        } else {
            connection.malformed();
        }
    }

    private void stream(ByteBuf part) {
        if (connection.isInUse() && part.isReadable()) {
            connection.responsePart(part);
        } else {
            part.release();
        }
    }

    // ---- the end

    private void end() {
        if (isInterim()) {
            connection.interimResponseEnded();
        } else if (streaming) {
            connection.setReusable(isReusable());
            connection.setReading(true);
            connection.end(Outcome.OK, null);
            connection.closeUnlessReusable();
        } else {
            endBuffered();
        }
        head = null;
    }

    private void endBuffered() {
        FullHttpResponse response = whole(body.take());
        connection.setReusable(isReusable());
        try {
            connection.end(outcome(response), response);
        } finally {
            response.release();
        }
        connection.closeUnlessReusable();
    }

    private FullHttpResponse whole(ByteBuf content) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, head.status(), content, head.headers(), EmptyHttpHeaders.INSTANCE);
    }

    /** Whether the response's own framing says where it ends, and the host keeps the connection behind it. */
    private boolean isReusable() {
        return isFramed() && HttpUtil.isKeepAlive(head);
    }

    private boolean isFramed() {
        return HttpUtil.isTransferEncodingChunked(head)
                || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private static Outcome outcome(FullHttpResponse response) {
        int code = response.status().code();
        if (code == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean mayBeRejected = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return mayBeRejected && NEVER_RAN.equals(response.headers().get(NEVER_RAN_HEADER))
                ? Outcome.REJECTED
                : Outcome.ERROR;
    }
}
