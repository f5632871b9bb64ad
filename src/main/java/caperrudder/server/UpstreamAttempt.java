package caperrudder.server;

import caperrudder.api.Outcome;
import caperrudder.server.downstream.ResponseSource;
import caperrudder.server.upstream.UpstreamExchange;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;

/** One attempt of an open request at one host. */
final class UpstreamAttempt extends UpstreamExchange implements ResponseSource {
    private static final int LONG_RESPONSE_BYTES = 64 * 1024; // PROTOCOL: up to here the last byte has to come in time

    private final RequestDispatcher dispatcher;
    private final OpenRequest request;
    private final int number;
    private final String host;
    private double sentAtMs; // of a streamed body, the last byte
    private double firstByteAtMs; // of a streamed response
    private HttpResponse streamedHead; // null where the response is not streamed
    private long streamedBytes;
    private boolean firstPart; // the part handed over last is the first one
    private boolean sent; // its last byte
    private boolean ended;
    private Future<?> timeout;

    UpstreamAttempt(RequestDispatcher dispatcher, OpenRequest request, int number, String host, double sentAtMs) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.number = number;
        this.host = host;
        this.sentAtMs = sentAtMs;
    }

    OpenRequest request() {
        return request;
    }

    /** Its number among the attempts of its request, from 0 on. */
    int number() {
        return number;
    }

    String host() {
        return host;
    }

    /** Whether its last byte has left for the host. */
    boolean isSent() {
        return sent;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Its end stops this timer, or there would be one for each attempt of the last minutes. */
    void setTimeout(Future<?> timer) {
        timeout = timer;
    }

    void end() {
        ended = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    @Override
    protected boolean isWanted() {
        return dispatcher.isAwaited(request);
    }

    @Override
    protected void requestSent() {
        sent = true;
        dispatcher.attemptSent();
        if (!request.body().isBuffered()) {
            sentAtMs = dispatcher.now();
        }
    }

    @Override
    protected void bodyPartSent() {
        dispatcher.bodyPartSent(request);
    }

    @Override
    protected boolean responseStarted(HttpResponse head) {
        firstByteAtMs = dispatcher.now();
        streamedHead = head;
        return dispatcher.responseStarted(this, head);
    }

    @Override
    protected void responsePart(ByteBuf part) {
        firstPart = streamedBytes == 0;
        streamedBytes += part.readableBytes();
        dispatcher.responsePart(this, part);
    }

    @Override
    protected void ended(Outcome outcome, FullHttpResponse response) {
        dispatcher.attemptEnded(this, outcome, response);
    }

    /** From the request's last byte to the response, or to the first bytes of one that is streamed. */
    double latencyMs(double nowMs) {
        return (streamedHead == null ? nowMs : firstByteAtMs) - sentAtMs;
    }

    /** Whether what is streamed is a response so long that the client's time is for its first bytes alone. */
    boolean isLong() {
        return streamedBytes > LONG_RESPONSE_BYTES
                || (streamedHead != null && HttpUtil.getContentLength(streamedHead, 0L) > LONG_RESPONSE_BYTES);
    }

    /** Whether the part that was handed over last is the first one of a streamed response. */
    boolean isFirstPart() {
        return firstPart;
    }

    /** The head of what the host answered, with {@code response} or streamed before; null where nothing came. */
    HttpResponse responseHead(FullHttpResponse response) {
        return response == null ? streamedHead : response;
    }
}
