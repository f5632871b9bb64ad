package caperrudder.server.upstream;

import caperrudder.server.http.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Makes of a client's request the message to a host: what PROTOCOL says passes through unchanged, and no more. */
final class ForwardedRequestWriter {
    static final String HOST = "backend.local";

    private ForwardedRequestWriter() {}

    /** Writes the request; a body that is not buffered follows as it comes. */
    static void write(
            UpstreamConnection connection, UpstreamExchange exchange, ForwardedRequest request, double nowMs) {
        if (request.body().isBuffered()) {
            connection.write(exchange, buffered(request, nowMs));
        } else {
            connection.write(exchange, streamed(request, nowMs), request.body());
        }
    }

    private static FullHttpRequest buffered(ForwardedRequest request, double nowMs) {
        HttpRequest from = request.head();
        ByteBuf content = request.body().copy();
        FullHttpRequest to = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), content);
        setHeaders(request, to, nowMs);
        if (!from.method().equals(HttpMethod.GET)) {
            to.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        return to;
    }

    private static HttpRequest streamed(ForwardedRequest request, double nowMs) {
        HttpRequest from = request.head();
        HttpRequest to = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri());
        setHeaders(request, to, nowMs);
        long length = HttpUtil.getContentLength(from, -1L);
        if (length >= 0) {
            to.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            to.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return to;
    }

    private static void setHeaders(ForwardedRequest request, HttpRequest to, double nowMs) {
        HttpHeaders from = request.head().headers();
        HttpHeaders headers = to.headers();
        headers.set(HttpHeaderNames.HOST, HOST);
        headers.set(RequestHeaders.TRACE_ID, request.id());
        headers.set(RequestHeaders.EXPIRES_IN_MS, Long.toString((long) request.timeLeftMs(nowMs)));
        copy(from, headers, RequestHeaders.IDEMPOTENCY_KEY);
        copy(from, headers, HttpHeaderNames.CONTENT_TYPE);
    }

    private static void copy(HttpHeaders from, HttpHeaders to, CharSequence name) {
        String value = from.get(name);
        if (value != null) {
            to.set(name, value);
        }
    }
}
