package caperrudder.server.upstream;

import caperrudder.api.Outcome;
import caperrudder.server.http.RequestBody;
import caperrudder.server.runtime.BufferBudget;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a host. It carries one exchange at a time, and goes back to its pool only when nothing stands on
 * it beyond that exchange's response: what a host sends unasked would be taken for the next response. On the event
 * loop only.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private final ConnectionPool pool;
    private final Clock clock;
    private final BufferBudget budget;
    private final HostResponseDecoder decoder = new HostResponseDecoder(this);
    private final RequestUpload upload = new RequestUpload(this);
    private final ResponseAssembler response;
    private final StallWatch stallWatch;
    private Channel channel;
    private UpstreamExchange exchange; // null between exchanges
    private boolean requestSent; // its last byte has left
    private boolean responseBegun; // something of it has come
    private boolean reusable; // answered, and nothing has come since
    private double idleSinceMs;

    UpstreamConnection(ConnectionPool pool, Clock clock, BufferBudget budget) {
        this.pool = pool;
        this.clock = clock;
        this.budget = budget;
        this.response = new ResponseAssembler(this, budget);
        this.stallWatch = new StallWatch(this, clock);
    }

    void attach(Channel connecting) {
        channel = connecting;
        budget.applyTo(connecting);
        connecting.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    // ---- the exchange

    /** It is for this exchange, which may have to wait until the connection is up. */
    void assign(UpstreamExchange next) {
        exchange = next;
        next.assignedTo(this);
    }

    boolean carries(UpstreamExchange which) {
        return exchange == which;
    }

    boolean isInUse() {
        return exchange != null;
    }

    /** The exchange that it carries; null where there is none. */
    UpstreamExchange exchange() {
        return exchange;
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    /**
     * Whether an idle connection may carry the next exchange. What stands unread in its socket is read first: a
     * second copy of the last response, or the host's end, may have come since the loop last looked.
     */
    boolean isUsable() {
        if (channel.isActive()) {
            Transport.readNow(channel);
        }
        return channel.isActive();
    }

    void write(UpstreamExchange next, FullHttpRequest message) {
        begin(next);
        whenSent(next, channel.writeAndFlush(message));
    }

    /** Sends a body on as it comes and as fast as the host takes it. */
    void write(UpstreamExchange next, HttpRequest message, RequestBody body) {
        begin(next);
        upload.start(channel, message, body);
    }

    private void begin(UpstreamExchange next) {
        assign(next);
        requestSent = false;
        responseBegun = false;
        reusable = false;
        response.reset();
    }

    /** The last byte of a request leaves with this write. */
    void whenSent(UpstreamExchange sending, ChannelFuture last) {
        last.addListener(f -> {
            if (exchange != sending) {
                return;
            }
            requestSent = f.isSuccess();
            if (requestSent) {
                sending.requestSent();
            } else {
                lost();
                close();
            }
        });
    }

    void bodyPartSent() {
        if (exchange != null) {
            exchange.bodyPartSent();
        }
    }

    /** What was asked here ended without a response. It may have run only once its last byte had left. */
    void lost() {
        end(requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    /** No response will come of this, whatever else comes; the host may have run the request all the same. */
    void malformed() {
        end(Outcome.MALFORMED, null);
        close();
    }

    /** Ends the exchange, if there is one; the response is only lent. */
    void end(Outcome outcome, FullHttpResponse answer) {
        UpstreamExchange ending = exchange;
        exchange = null;
        upload.stop();
        if (ending != null) {
            ending.released();
            ending.ended(outcome, answer);
        }
    }

    /** The exchange's owner waits no more. */
    void abandoned() {
        exchange = null;
        upload.stop();
        close();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    // ---- the response

    /** Something has come from the host. */
    void bytesReceived() {
        stallWatch.bytesReceived(!responseBegun);
        responseBegun = true;
    }

    /** Whether a response to this exchange has begun and not ended. */
    boolean isReceiving(UpstreamExchange which) {
        return exchange == which && responseBegun;
    }

    boolean isStreamingResponse() {
        return response.isStreaming();
    }

    /** Streams the response that is being read, if it is still buffered. */
    void streamBufferedResponse() {
        response.streamBuffered();
    }

    /** Whether the exchange's owner takes the response's parts as they come. */
    boolean responseStarted(HttpResponse head) {
        return exchange.responseStarted(head);
    }

    /** Hands a part of a streamed response over. */
    void responsePart(ByteBuf part) {
        exchange.responsePart(part);
    }

    /** The final response may stand right behind an interim one. */
    void interimResponseEnded() {
        responseBegun = decoder.hasLeftover();
    }

    void setReading(boolean reading) {
        if (channel.config().isAutoRead() != reading) {
            stallWatch.readingChanged();
            channel.config().setAutoRead(reading);
        }
    }

    /** The response has ended; {@code keptOpen}: by its own framing, and the host keeps the connection. */
    void setReusable(boolean keptOpen) {
        reusable = requestSent && keptOpen && !decoder.hasLeftover();
    }

    void closeUnlessReusable() {
        if (!reusable) {
            close();
        }
    }

    // ---- the channel

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (exchange == null) {
                close();
            } else if (((HttpObject) message).decoderResult().isFailure()) {
                malformed();
            } else {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (message instanceof HttpResponse head) {
            response.begin(head);
        }
        if (message instanceof HttpContent content && exchange != null) {
            response.addContent(content);
        }
    }

    /** Only now has all been read that came with the response; before, what is right behind it was not seen. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (exchange != null) {
            if (responseBegun) {
                stallWatch.start(channel, exchange);
            }
            return;
        }
        stallWatch.stop();
        if (reusable && channel.isActive() && !pool.isClosed()) {
            reusable = false; // once only: what comes from now on closes it
            idleSinceMs = clock.now();
            pool.addIdle(this);
        } else if (pool.isClosed()) {
            close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        upload.more();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(this);
        stallWatch.stop();
        lost();
        response.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrorHandler.check(cause);
        lost();
        close();
    }
}
