package caperrudder.server.downstream;

import caperrudder.server.downstream.InboundMessage.InboundRequest;
import caperrudder.server.downstream.InboundMessage.UnreadableRequest;
import caperrudder.server.http.BodyBuffer;
import caperrudder.server.http.DiscardedHeaders;
import caperrudder.server.http.HeadMemory;
import caperrudder.server.http.HeadMemoryExceededException;
import caperrudder.server.http.MessageBodies;
import caperrudder.server.http.RequestBody;
import caperrudder.server.http.RequestHeaders;
import caperrudder.server.http.StrictHeaders;
import caperrudder.server.runtime.BufferBudget;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.ProtectionCounters.Reason;
import caperrudder.server.runtime.ReadBuffers;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Puts the requests of one connection together, or passes on that what comes can't be read: then nothing more is, as
 * where a further request would begin is not known. It answers nothing itself, since responses have their order.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {
    /** Events for the handlers behind this one. */
    enum Event {
        /** The client sends the body only once it is notified that its head was read. */
        CONTINUE_EXPECTED,
        /** The last byte of a streamed body has come. */
        BODY_COMPLETED
    }

    private static final int MESSAGE_BYTES = 512; // of the objects that a request without lines or body is
    private static final double NONE = -1;
    private static final double HEAD_MS = 2600; // for a head, from its first byte: true clients take up to 2 s
    private static final double BODY_GRACE_MS = 1500; // without a byte of a body, and ahead of its slowest pace
    private static final long CLIENT_SOCKET_MAX_BYTES = 4 << 20; // unsent at the client, by Linux's default limit
    private static final double BODY_BYTES_PER_MS = 32; // slowest pace of a body: half of what true clients keep

    private final Clock clock;
    private final BufferBudget budget;
    private final InboundFlowControl flowControl;
    private final HeadMemory headMemory;
    private final BooleanSupplier mayReadAhead;
    private final Runnable onRoom;
    private final Decoder decoder = new Decoder();
    private HeadMemory.Lease headLease; // of the head that comes or came last; null where a request took it over
    private ReadBuffers readBuffers;
    private HttpRequest head;
    private final BodyBuffer body = new BodyBuffer();
    private int streamedFromBytes; // a longer body is passed on as it comes
    private RequestBody streamedBody; // of a request that was passed on before its end
    private boolean ended;
    private double sinceMs = NONE; // when an unfinished request, or its body, began to come
    private double progressAtMs;
    private long bodyBytes; // since then
    private long streamedBytes;
    private long reads;

    /**
     * Reads nothing yet.
     *
     * @param mayReadAhead whether one more request may be read before those that were
     * @param onRoom run when a body that was full can take more
     */
    RequestReader(
            Clock clock, BufferBudget budget, HeadMemory headMemory, BooleanSupplier mayReadAhead, Runnable onRoom) {
        this.clock = clock;
        this.budget = budget;
        this.headMemory = headMemory;
        this.mayReadAhead = mayReadAhead;
        this.flowControl = new InboundFlowControl(budget, decoder::hasLeftover);
        this.onRoom = onRoom;
    }

    private final class Decoder extends HttpRequestDecoder {
        Decoder() {
            super(new HttpDecoderConfig()
                    .setHeadersFactory(
                            StrictHeaders.ofRequests(RequestHeaders.SINGLE_VALUED, RequestReader.this::beginHead))
                    .setTrailersFactory(DiscardedHeaders.factory()));
        }

        /** Leaves undecoded what stands behind as many requests as may wait their turn. */
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
            boolean betweenRequests = head == null && headLease == null;
            if (!betweenRequests || mayReadAhead.getAsBoolean()) {
                super.decode(ctx, bytes, out);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            if (ended) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            if (sinceMs == NONE) {
                sinceMs = clock.now();
            }
            reads++;
            super.channelRead(ctx, bytes);
        }

        boolean hasLeftover() {
            return actualReadableBytes() > 0;
        }
    }

    private HeadMemory.Lease beginHead() {
        releaseHead();
        headLease = headMemory.lease();
        return headLease;
    }

    /** The request that has been read answers for its head from now on. */
    private HeadMemory.Lease handOverHead() {
        HeadMemory.Lease lease = headLease;
        headLease = null;
        return lease;
    }

    private void releaseHead() {
        if (headLease != null) {
            headLease.close();
            headLease = null;
        }
    }

    void addTo(ChannelPipeline pipeline) {
        readBuffers = budget.applyTo(pipeline.channel());
        readBuffers.setReadsBody(false);
        pipeline.addLast(flowControl, new HttpResponseEncoder(), decoder, this);
    }

    InboundFlowControl flowControl() {
        return flowControl;
    }

    /** Whether a part of a request has come and not its end. */
    boolean isInsideRequest() {
        return sinceMs != NONE;
    }

    /** How often something has come. */
    long reads() {
        return reads;
    }

    /** Whether something unfinished comes too slowly, or no more. */
    boolean isOverdue(double nowMs) {
        if (sinceMs == NONE) {
            return false;
        }
        return (head == null && streamedBody == null)
                ? nowMs - sinceMs > HEAD_MS
                : nowMs - progressAtMs > BODY_GRACE_MS
                        || nowMs - sinceMs - BODY_GRACE_MS > bodyBytes / BODY_BYTES_PER_MS;
    }

    /** Whether the body on its way can take no more for now. */
    boolean isBodyFull() {
        return streamedBody != null && streamedBody.isFull();
    }

    /** The client was not read for a while, and its time starts anew. */
    void restartTimeouts() {
        sinceMs = sinceMs == NONE ? NONE : clock.now();
        progressAtMs = clock.now();
        bodyBytes = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            Throwable fault = ((HttpObject) message).decoderResult().cause();
            if (ended) {
                return;
            }
            if (fault != null) {
                rejectUnreadable(ctx, fault);
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(ctx, request);
            }
            if (message instanceof HttpContent content && !ended) {
                addContent(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void rejectUnreadable(ChannelHandlerContext ctx, Throwable fault) {
        if (fault instanceof HeadMemoryExceededException) {
            reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.HEAD_MEMORY);
        } else if (fault instanceof TooLongFrameException) {
            reject(ctx, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Reason.HEAD_SIZE);
        } else {
            reject(ctx, HttpResponseStatus.BAD_REQUEST);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        readBuffers.setReadsBody(HttpUtil.isTransferEncodingChunked(request) || HttpUtil.isContentLengthSet(request));
        restartTimeouts();
        if (!headLease.tryGrow(MESSAGE_BYTES + request.uri().length())) {
            reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.HEAD_MEMORY);
        } else if (!isSupported(request)) {
            reject(ctx, HttpResponseStatus.BAD_REQUEST);
        } else if (HttpUtil.getContentLength(request, 0L) > MessageBodies.MAX_BYTES) {
            reject(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, Reason.BODY_SIZE); // before any of it is read
        } else if (HttpUtil.is100ContinueExpected(request)) {
            ctx.fireUserEventTriggered(Event.CONTINUE_EXPECTED);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            reject(ctx, HttpResponseStatus.EXPECTATION_FAILED);
        }
        streamedFromBytes = budget.streamedFromBytes(HttpUtil.getContentLength(request, 0L));
    }

    private static boolean isSupported(HttpRequest request) {
        return request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                || (request.protocolVersion().equals(HttpVersion.HTTP_1_0)
                        && !HttpUtil.isTransferEncodingChunked(request));
    }

    private void addContent(ChannelHandlerContext ctx, HttpContent content) {
        int length = content.content().readableBytes();
        bodyBytes += length;
        progressAtMs = length > 0 ? clock.now() : progressAtMs;
        if (length > 0 && budget.isExhausted()) {
            reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.BUFFER_MEMORY);
            return;
        }
        if (streamedBody == null && body.length() + length > Math.min(streamedFromBytes, budget.windowBytes())) {
            startStreaming(ctx);
        }
        if (streamedBody != null) {
            stream(ctx, content);
            return;
        }
        body.add(content.content());
        if (content instanceof LastHttpContent) {
            InboundRequest request = new InboundRequest(head, RequestBody.buffered(body.take(), handOverHead()));
            requestEnded();
            ctx.fireChannelRead(request);
        }
    }

    private void startStreaming(ChannelHandlerContext ctx) {
        streamedBody = RequestBody.streamed(budget::windowBytes, onRoom, handOverHead());
        streamedBody.add(body.take());
        ctx.fireChannelRead(new InboundRequest(head, streamedBody));
    }

    private void stream(ChannelHandlerContext ctx, HttpContent content) {
        streamedBytes += content.content().readableBytes();
        if (streamedBytes > MessageBodies.MAX_BYTES) { // of a body that did not tell its length
            reject(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, Reason.BODY_SIZE);
            return;
        }
        ByteBuf part = content.content().retain();
        if (content instanceof LastHttpContent) {
            streamLast(ctx, part);
            return;
        }
        streamedBody.add(part);
        boolean full = streamedBody.isFull();
        if (flowControl.isSocketEmpty() || (full && hasMoreToComeThanSocketsHold(ctx))) {
            streamedBody.unfinishedAt(clock.now());
        }
        if (full) {
            flowControl.pause(false); // at once: more may stand in the socket
        }
    }

    /** Whether so much of the body is still to come that its client can't have written its end. */
    private boolean hasMoreToComeThanSocketsHold(ChannelHandlerContext ctx) {
        long toComeBytes = HttpUtil.getContentLength(head, 0L) - streamedBytes;
        return toComeBytes > CLIENT_SOCKET_MAX_BYTES
                && ctx.channel().config() instanceof SocketChannelConfig socket
                && toComeBytes - CLIENT_SOCKET_MAX_BYTES > socket.getReceiveBufferSize();
    }

    /** The socket was read just now, and nothing stood in it. */
    void socketFoundEmpty() {
        if (streamedBody != null) {
            streamedBody.unfinishedAt(clock.now());
        }
    }

    private void streamLast(ChannelHandlerContext ctx, ByteBuf part) {
        RequestBody received = streamedBody;
        streamedBody = null;
        streamedBytes = 0;
        requestEnded();
        received.lastPartReceived();
        ctx.executor().execute(() -> complete(ctx, received, part));
    }

    private void requestEnded() {
        head = null;
        readBuffers.setReadsBody(false);
        sinceMs = decoder.hasLeftover() ? clock.now() : NONE;
    }

    /** A host starts a request with its last byte, so the client's end, which may stand behind it, is read first. */
    private void complete(ChannelHandlerContext ctx, RequestBody received, ByteBuf part) {
        flowControl.readSocket();
        if (ctx.channel().isOpen()) {
            received.add(part);
            received.end();
            ctx.fireUserEventTriggered(Event.BODY_COMPLETED);
        } else {
            part.release();
        }
    }

    /** More was sent ahead than is kept: rejected, as it may be asked again. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == InboundFlowControl.Event.INPUT_CUT_OFF && !ended) {
            reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.PIPELINED);
        }
        ctx.fireUserEventTriggered(event);
    }

    private void reject(ChannelHandlerContext ctx, HttpResponseStatus status) {
        reject(ctx, new UnreadableRequest(status, Optional.empty()));
    }

    private void reject(ChannelHandlerContext ctx, HttpResponseStatus status, Reason exceededLimit) {
        reject(ctx, new UnreadableRequest(status, Optional.of(exceededLimit)));
    }

    private void reject(ChannelHandlerContext ctx, UnreadableRequest unreadable) {
        end();
        ctx.fireChannelRead(unreadable);
    }

    private void end() {
        ended = true;
        sinceMs = NONE;
        head = null;
        releaseHead();
        if (streamedBody != null) {
            streamedBody.discard();
            streamedBody = null;
        }
        body.release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end();
        ctx.fireChannelInactive();
    }
}
