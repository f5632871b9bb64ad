package caperrudder.server.downstream;

import caperrudder.server.http.HeaderValues;
import caperrudder.server.http.PartQueue;
import caperrudder.server.runtime.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Makes the responses of one connection, and streams those that are passed on as they come: as fast as the client
 * takes them, so that what waits here stays within a window of the budget.
 */
final class ReplyWriter {
    private static final double MS_PER_SECOND = 1000;

    /** What may wait to be written of a stream; the parts behind it wait here, where small ones share buffers. */
    private static final WriteBufferWaterMark UNWRITTEN = new WriteBufferWaterMark(2 * 1024, 4 * 1024);

    private final Channel channel;
    private final BufferBudget budget;
    private final WriteProgress progress;
    private final PartQueue unwritten = new PartQueue();
    private ResponseSource source; // of the response on its way; null between them
    private HttpResponse heldHead; // of that response, until something of its body follows
    private boolean waitingToBegin; // until the kernel has taken all earlier responses
    private boolean closing; // the response on its way is the connection's last
    private boolean endedByClose; // and only the connection's end tells that it is whole

    ReplyWriter(Channel channel, double nowMs, BufferBudget budget) {
        this.channel = channel;
        this.budget = budget;
        this.progress = new WriteProgress(channel, nowMs);
    }

    // ---- responses that are whole

    /** A host's 200 response for the client; the body is retained. */
    static FullHttpResponse relayed(FullHttpResponse from) {
        FullHttpResponse to = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, from.content().retain());
        copyContentType(from, to);
        return to;
    }

    /** A response without a body; it tells no time to come back where {@code retryAfterMs} is 0. */
    static FullHttpResponse empty(HttpResponseStatus status, double retryAfterMs) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        if (retryAfterMs > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, Double.toString(Math.ceil(retryAfterMs) / MS_PER_SECOND));
        }
        return response;
    }

    /** Sets the headers that tell where the response ends, and whether the connection ends with it. */
    static void frame(FullHttpResponse response, boolean last) {
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private static void copyContentType(HttpResponse from, HttpResponse to) {
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null && HeaderValues.isWithin(type, ' ', '~')) { // else not to be passed on
            to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
    }

    /** Tells the client to send the body that it holds back. */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                channel.voidPromise());
    }

    // ---- a streamed response

    /**
     * Begins to pass a response on as it comes. Its head is held until something follows it.
     *
     * @param chunkedAllowed whether the client reads a body in chunks
     * @param last whether the connection ends with this response whatever its framing
     */
    void begin(HttpResponse from, ResponseSource parts, boolean chunkedAllowed, boolean last) {
        HttpResponse to = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        copyContentType(from, to);
        long length = HttpUtil.getContentLength(from, -1L);
        if (length >= 0) {
            to.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (chunkedAllowed) {
            to.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        endedByClose = length < 0 && !chunkedAllowed;
        closing = last || endedByClose;
        if (closing) {
            to.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        source = parts;
        channel.config().setWriteBufferWaterMark(UNWRITTEN);
        heldHead = to;
    }

    /** Takes the part over. */
    void write(ByteBuf part) {
        unwritten.add(part);
        beginWriting();
    }

    /** Writes the first bytes once the kernel has taken all earlier responses, so that it takes these at once. */
    private void beginWriting() {
        if (heldHead == null || !progress.isPending()) {
            writeWhileTaken();
            return;
        }
        source.setReading(unwritten.heldBytes() < budget.windowBytes());
        if (!waitingToBegin) {
            waitingToBegin = true;
            progress.whenTaken(this::earlierResponsesTaken);
        }
    }

    private void earlierResponsesTaken() {
        waitingToBegin = false;
        if (source != null) { // else the response has ended meanwhile
            beginWriting();
        }
    }

    private void writeHead() {
        if (heldHead != null) {
            channel.write(heldHead, channel.voidPromise());
            heldHead = null;
        }
    }

    /** Writes what waits as far as the client takes it, and reads on where little waits. */
    private void writeWhileTaken() {
        boolean any = false;
        if (!unwritten.isEmpty()) {
            writeHead();
        }
        while (channel.isWritable() && !unwritten.isEmpty()) {
            channel.write(new DefaultHttpContent(unwritten.poll()), channel.voidPromise());
            any = true;
            if (!channel.isWritable()) {
                channel.flush();
            }
        }
        if (any) {
            channel.flush();
        }
        if (source != null) { // else the write has ended the connection
            source.setReading(unwritten.heldBytes() < budget.windowBytes());
        }
    }

    /** No more parts come of a response that is whole: those that wait are written. */
    void stop() {
        source = null;
        writeHead();
        for (ByteBuf part = unwritten.poll(); part != null; part = unwritten.poll()) {
            channel.write(new DefaultHttpContent(part), channel.voidPromise());
        }
    }

    /** No more parts come, and those that wait are dropped: the response broke, or its client has gone. */
    void discard() {
        source = null;
        heldHead = null;
        unwritten.releaseAll();
    }

    boolean isStreaming() {
        return source != null;
    }

    /** Whether the client has got a part of the response on its way; until then another response may take its place. */
    boolean hasBegun() {
        return source != null && heldHead == null;
    }

    /** Whether the kernel has not taken all of what the client is to get. */
    boolean isPending() {
        return !unwritten.isEmpty() || progress.isPending();
    }

    /** Whether the response that is or was last on its way is the connection's last. */
    boolean isClosing() {
        return closing;
    }

    /** Ends the connection inside a response. Where its end alone would tell that it is whole, by a reset. */
    void abort() {
        discard();
        if (endedByClose && channel instanceof SocketChannel socketChannel) {
            socketChannel.config().setSoLinger(0);
        }
        channel.close();
    }

    /** Runs the action once the kernel has taken all that was written, or the connection has ended. */
    void whenTaken(Runnable action) {
        progress.whenTaken(action);
    }

    /** Whether the client has taken nothing for too long of what it is to get; to be asked several times a second. */
    boolean isStalled(double nowMs) {
        return progress.isStalled(nowMs);
    }

    void writabilityChanged() {
        if (source != null) {
            beginWriting();
        }
    }
}
