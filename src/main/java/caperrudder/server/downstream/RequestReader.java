package caperrudder.server.downstream;

import caperrudder.server.http.MessageBodies;
import caperrudder.server.http.RequestBody;
import caperrudder.server.http.RequestHeaders;
import caperrudder.server.http.StrictHeaders;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.StreamBufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Puts the requests of one connection together, or passes on that what comes can't be read: then nothing more is, as
 * where a further request would begin is not known. It answers nothing itself, since answers have their order.
 */
public final class RequestReader extends ChannelInboundHandlerAdapter {
    private static final HttpHeadersFactory HEADERS = StrictHeaders.ofRequests(RequestHeaders.SINGLE_VALUED);
    private static final double NONE = -1;
    private static final double HEAD_MS = 2600; // for a head, from its first byte: true clients take up to 2 s
    private static final double BODY_GRACE_MS = 1500; // without a byte of a body, and ahead of its slowest pace
    private static final double BODY_BYTES_PER_MS = 32; // slowest pace of a body: half of what true clients keep

    /** In the place of a request: the connection ends with this answer. */
    record Unreadable(HttpResponseStatus status) {}

    /** A request of which the body is on its way: its parts go to the body as they come. */
    record Arriving(HttpRequest head, RequestBody body) {}

    /** The client sends the body only once it is told that its head was read. */
    enum Asks {
        TO_GO_ON,
        BODY_CAME
    }

    private final Clock clock;
    private final InboundFlowControl valve;
    private final Decoder decoder = new Decoder();
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private int passedFrom; // so many bytes of the body on
    private RequestBody arriving; // of a request that was passed on before its end
    private boolean over;
    private double since = NONE; // when an unfinished request, or its body, began to come
    private double progressAt;
    private long bodyBytes; // since then
    private long bodyTotal;
    private long reads;
    private final StreamBufferBudget budget;
    private final Runnable room;

    /** {@code room} is run when a body that was full can take more. */
    RequestReader(Clock clock, StreamBufferBudget budget, Runnable room) {
        this.clock = clock;
        this.budget = budget;
        this.valve = new InboundFlowControl(budget);
        this.room = room;
    }

    private final class Decoder extends HttpRequestDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setHeadersFactory(HEADERS));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            if (over) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            if (since == NONE) {
                since = clock.now();
            }
            reads++;
            super.channelRead(ctx, bytes);
        }

        boolean leftOver() {
            return actualReadableBytes() > 0;
        }
    }

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(valve, new HttpResponseEncoder(), decoder, this);
    }

    InboundFlowControl valve() {
        return valve;
    }

    /** Whether a part of a request has come and not its end. */
    boolean unfinished() {
        return since != NONE;
    }

    /** How often something has come. */
    long reads() {
        return reads;
    }

    /** Whether something unfinished comes too slowly, or no more. */
    boolean overdue(double now) {
        if (since == NONE) {
            return false;
        }
        return head == null && arriving == null
                ? now - since > HEAD_MS
                : now - progressAt > BODY_GRACE_MS || now - since - BODY_GRACE_MS > bodyBytes / BODY_BYTES_PER_MS;
    }

    /** What came of a body that has more to come, or null. */
    RequestBody arriving() {
        return arriving;
    }

    /** The client was not read for a while, and its time starts anew. */
    void resume() {
        since = since == NONE ? NONE : clock.now();
        progressAt = clock.now();
        bodyBytes = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            Throwable fault = ((HttpObject) message).decoderResult().cause();
            if (over) {
                return;
            }
            if (fault != null) {
                refuse(
                        ctx,
                        fault instanceof TooLongFrameException
                                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest httpRequest) {
                begin(ctx, httpRequest);
            }
            if (message instanceof HttpContent httpContent && !over) {
                goOn(ctx, httpContent);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        resume();
        boolean known = request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                || request.protocolVersion().equals(HttpVersion.HTTP_1_0)
                        && !HttpUtil.isTransferEncodingChunked(request);
        if (!known) {
            refuse(ctx, HttpResponseStatus.BAD_REQUEST);
        } else if (HttpUtil.getContentLength(request, 0L) > MessageBodies.MAX_BYTES) {
            refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE); // before any of it is read
        } else if (HttpUtil.is100ContinueExpected(request)) {
            ctx.fireUserEventTriggered(Asks.TO_GO_ON);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            refuse(ctx, HttpResponseStatus.EXPECTATION_FAILED);
        }
        passedFrom = budget.passedFrom(HttpUtil.getContentLength(request, 0L));
    }

    private void passOn(ChannelHandlerContext ctx) {
        arriving = RequestBody.streamed(budget.window(), room);
        if (body.isReadable()) {
            arriving.add(body);
            body = Unpooled.EMPTY_BUFFER;
        }
        ctx.fireChannelRead(new Arriving(head, arriving));
    }

    private void goOn(ChannelHandlerContext ctx, HttpContent content) {
        int length = content.content().readableBytes();
        bodyBytes += length;
        progressAt = length > 0 ? clock.now() : progressAt;
        if (arriving == null && body.readableBytes() + length > passedFrom) {
            passOn(ctx);
        }
        if (arriving != null) {
            pass(ctx, content);
            return;
        }
        body = MessageBodies.join(ctx, body, content.content());
        if (content instanceof LastHttpContent) {
            DefaultFullHttpRequest whole = new DefaultFullHttpRequest(
                    head.protocolVersion(), head.method(), head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
            head = null;
            body = Unpooled.EMPTY_BUFFER;
            since = decoder.leftOver() ? clock.now() : NONE;
            ctx.fireChannelRead(whole);
        }
    }

    private void pass(ChannelHandlerContext ctx, HttpContent content) {
        bodyTotal += content.content().readableBytes();
        if (bodyTotal > MessageBodies.MAX_BYTES) { // of a body that did not tell its length
            refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        ByteBuf part = content.content().retain();
        if (content instanceof LastHttpContent) {
            RequestBody come = arriving;
            arriving = null;
            head = null;
            bodyTotal = 0;
            since = decoder.leftOver() ? clock.now() : NONE;
            come.lastPartReceived();
            ctx.executor().execute(() -> end(ctx, come, part));
            return;
        }
        arriving.add(part);
        if (arriving.isFull()) {
            valve.shut(false); // at once: more may stand in the socket
        }
    }

    /** A host starts a request with its last byte, so the client's end, which may stand behind it, is read first. */
    private void end(ChannelHandlerContext ctx, RequestBody come, ByteBuf part) {
        valve.look();
        if (ctx.channel().isOpen()) {
            come.add(part);
            come.end();
            ctx.fireUserEventTriggered(Asks.BODY_CAME);
        } else {
            part.release();
        }
    }

    /** More was sent ahead than is kept: refused, as it may be asked again. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == InboundFlowControl.Told.CUT_OFF && !over) {
            refuse(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        ctx.fireUserEventTriggered(event);
    }

    private void refuse(ChannelHandlerContext ctx, HttpResponseStatus status) {
        end();
        ctx.fireChannelRead(new Unreadable(status));
    }

    private void end() {
        over = true;
        since = NONE;
        head = null;
        if (arriving != null) {
            arriving.discard();
            arriving = null;
        }
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end();
        ctx.fireChannelInactive();
    }
}
