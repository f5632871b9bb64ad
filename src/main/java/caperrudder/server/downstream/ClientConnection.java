package caperrudder.server.downstream;

import caperrudder.server.downstream.InboundMessage.InboundRequest;
import caperrudder.server.downstream.InboundMessage.UnreadableRequest;
import caperrudder.server.http.RequestBody;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.ProtectionCounters.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One client connection: one request at a time, in order; what is sent ahead (pipelined) waits its turn. Each request
 * gets one response. On the event loop only.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final double SILENT_MS = 2600; // for the first request: true clients take up to 2 s for a head
    private static final int USED_ONCE = 1; // requests on a connection that need not bring another

    private final Channel channel;
    private final ConnectionContext context;
    private final InboundRequests inbound;
    private final ReplyWriter replies;
    private final ConnectionCloser closer;
    private ReceivedRequest current;
    private boolean chunkedAllowed; // the client reads a body in chunks
    private boolean busy;
    private boolean keepAlive = true;
    private boolean ended; // the last response is on its way
    private double idleSinceMs;
    private int messages; // that came whole, of whatever kind
    private int requests; // those of them that were handed over

    ClientConnection(Channel channel, ConnectionContext context) {
        this.channel = channel;
        this.context = context;
        this.idleSinceMs = context.eventLoop().clock().now();
        this.inbound = new InboundRequests(channel, context.eventLoop(), context.headMemory());
        this.replies = new ReplyWriter(channel, idleSinceMs, context.eventLoop().budget());
        this.closer = new ConnectionCloser(this, channel, inbound, replies, context.eviction());
    }

    void addTo(ChannelPipeline pipeline) {
        inbound.addTo(pipeline);
        pipeline.addLast(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (!context.eviction().add(this)) {
            ended = true;
            channel.close();
        }
    }

    // ---- closing

    /** Whether a response still waits to be taken, or a request for its turn: closing would lose either. */
    boolean isOwed() {
        return inbound.isHolding() || replies.isPending();
    }

    /** How many messages have come whole and had their turn. */
    int messages() {
        return messages;
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether it may be closed and nothing is lost; what stands in its socket is read first. */
    boolean isEvictable(boolean forced) {
        int messagesBefore = messages;
        long readsBefore = inbound.reads();
        inbound.readSocketUnlessPaused();
        return messages == messagesBefore
                && inbound.reads() == readsBefore
                && (forced || !inbound.isInsideRequest())
                && !isOwed();
    }

    /** Closes it as soon as the kernel has taken what was written; nothing more is read of it. */
    void closeGently() {
        ended = true;
        closer.closeGently();
    }

    void closeNow() {
        closer.closeNow();
    }

    void closeUnfinished() {
        if (busy || ended || isOwed()) {
            return; // it ends with its response
        }
        inbound.readSocketUnlessPaused(); // the end may have come since
        if (!busy && !ended && !isOwed()) {
            closeGently();
        }
    }

    /** Takes its place among those that may give way, behind the others of its kind. */
    void rest() {
        if (!busy && !ended && !inbound.isUploading() && !replies.isPending()) {
            idleSinceMs = context.eventLoop().clock().now();
            context.eviction().idle(this, requests > USED_ONCE);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        context.eviction().remove(this);
        inbound.releaseAll();
        ended = true;
        replies.discard();
        disconnectCurrent();
    }

    private void disconnectCurrent() {
        ReceivedRequest left = current;
        current = null;
        if (left != null) {
            left.clientDisconnected();
        }
    }

    /** Whether for too long no request has come on a connection that owes one, or none of a response was taken. */
    boolean isOverdue(double nowMs) {
        boolean stalled = replies.isStalled(nowMs);
        if (stalled || replies.hasBegun()) {
            return stalled;
        }
        boolean owesRequest = inbound.isUploading() || (!busy && !ended);
        boolean silent = messages == 0 && !busy && nowMs - idleSinceMs > SILENT_MS;
        return owesRequest && !inbound.isPaused() && (silent || inbound.isOverdue(nowMs));
    }

    void timeOut() {
        inbound.readSocketUnlessPaused(); // it may have come while this loop was busy
        double now = context.eventLoop().clock().now();
        if (!isOverdue(now)) {
            return;
        }
        keepAlive = false;
        if (replies.isStalled(now)) {
            context.count(Reason.STALLED_RESPONSE);
            closer.breakOff();
        } else if (inbound.isUploading() && !busy) { // it was answered, and only its rest did not come
            closeGently();
        } else if (inbound.isUploading() || inbound.isInsideRequest()) {
            context.count(Reason.SLOW_REQUEST);
            abandonUpload();
            reply(HttpResponseStatus.REQUEST_TIMEOUT, 0);
        } else {
            context.count(Reason.SILENT);
            closeNow();
        }
    }

    /** The rest of a request will not come: no host is to wait for it. */
    private void abandonUpload() {
        inbound.forgetUpload();
        replies.discard();
        disconnectCurrent();
    }

    // ---- reading

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == RequestReader.Event.BODY_COMPLETED) {
            bodyCompleted();
        }
        // Ahead of a response that is still due it would be taken to belong to that one; then the client waits.
        if (event == RequestReader.Event.CONTINUE_EXPECTED && !busy && !ended && !inbound.isWaiting()) {
            replies.writeContinue();
        }
    }

    private void bodyCompleted() {
        if (!inbound.completeUpload()) {
            return;
        }
        if (ended) {
            closeGently(); // it was answered before
        } else if (current != null) {
            current.completed();
        } else {
            rest();
            context.eventLoop().loop().execute(this::handleNext);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object received) {
        InboundMessage message = (InboundMessage) received;
        if (message instanceof UnreadableRequest) {
            breakUpload();
        }
        if (ended || !channel.isOpen()) {
            message.release();
            return;
        }
        inbound.add(message);
        if (context.eventLoop().lag().ms() > 0 || inbound.isReplaying()) {
            context.eventLoop().loop().execute(this::handleNext); // it is old, and its client may have left since
        } else {
            handleNext();
        }
        inbound.regulate();
    }

    /** What comes can't be read any more; if inside the body of the request that has its turn, that will not end. */
    private void breakUpload() {
        if (!inbound.isUploadUnfinished()) {
            return;
        }
        if (replies.hasBegun()) { // its response is on its way
            closer.breakOff();
        } else if (!busy) { // its response is given
            closeGently();
        } else {
            abandonUpload();
            busy = false;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        inbound.regulate();
        context.eviction().progressed(this);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        replies.writabilityChanged();
        handleNext();
    }

    // ---- handling

    /** Goes on with what was sent ahead, but only as fast as the client takes the responses. */
    private void handleNext() {
        while (!busy && !ended && inbound.isWaiting() && channel.isWritable()) {
            InboundMessage message = inbound.next();
            busy = true;
            messages++;
            context.eviction().exempt(this);
            if (message instanceof UnreadableRequest unreadable) {
                keepAlive = false; // where the next request would begin is not known
                unreadable.reason().ifPresent(context::count);
                reply(unreadable.status(), 0);
            } else if (message instanceof InboundRequest request) {
                handle(request.head(), request.body());
            }
        }
    }

    private void handle(HttpRequest head, RequestBody body) {
        inbound.begin(body);
        keepAlive = HttpUtil.isKeepAlive(head);
        chunkedAllowed = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        context.router().route(head, body, this);
    }

    void badRequest() {
        inbound.badRequest();
    }

    void requestHandedOver() {
        requests++;
    }

    // ---- what the handler of requests does

    /** The request that has its turn is this one, until it has its response. */
    public void open(ReceivedRequest request) {
        current = request;
    }

    /** Whether the client is there still: what stands in its socket is read before the loop comes to it. */
    public boolean isConnected() {
        inbound.readSocket();
        return channel.isOpen();
    }

    /** Reads more of the body on its way, if that can take it: its end may stand in the socket. */
    public void readUpload() {
        inbound.readUpload();
    }

    /** Whether the client takes what it is given as fast as that comes. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Passes a host's 200 response on as it came; the body is retained. */
    public void relay(FullHttpResponse response) {
        write(ReplyWriter.relayed(response));
    }

    /** Answers without a body; with a time to come back where {@code retryAfterMs} is not 0. */
    public void reply(HttpResponseStatus status, double retryAfterMs) {
        write(ReplyWriter.empty(status, retryAfterMs));
    }

    /** Begins to pass a host's 200 response on as it comes, as fast as the client takes it. */
    public void beginResponse(HttpResponse head, ResponseSource parts) {
        replies.begin(head, parts, chunkedAllowed, isLast());
    }

    /** Passes on a part of that response, which is taken over. */
    public void writePart(ByteBuf part) {
        replies.write(part);
    }

    /** Whether something of that response has left for the client, so that no other one can take its place. */
    public boolean hasResponseBegun() {
        return replies.hasBegun();
    }

    /** Drops that response, of which nothing has left: the request gets another one. */
    public void withdrawResponse() {
        replies.discard();
    }

    /** That response is whole, or broke: then the client is to see that it is not whole. */
    public void endResponse(boolean whole) {
        if (whole) {
            replies.stop();
            finish(LastHttpContent.EMPTY_LAST_CONTENT, replies.isClosing() || isLast());
        } else {
            current = null;
            ended = true;
            closer.breakOff();
        }
    }

    private void write(FullHttpResponse response) {
        boolean last = isLast();
        ReplyWriter.frame(response, last);
        finish(response, last);
    }

    /** Whether the connection ends with this response: in a drain only after what was sent ahead, too, has its own. */
    private boolean isLast() {
        return !keepAlive || (context.drain().isClosingConnections() && !inbound.isWaiting());
    }

    /** Writes the end of a response. What still comes of its request is read away: a close would reset it. */
    private void finish(HttpObject end, boolean last) {
        current = null;
        busy = false;
        ended = last;
        inbound.discardUpload();
        channel.writeAndFlush(end, channel.voidPromise());
        replies.whenTaken(this::responseTaken);
        if (!ended && inbound.isWaiting()) { // not at once: a response may be given while the request is being taken
            context.eventLoop().loop().execute(this::handleNext);
        }
    }

    /** The kernel has taken a whole response. Only now may the connection end, or count as idle. */
    private void responseTaken() {
        if (ended) {
            if (!inbound.isUploading()) {
                closeGently();
            }
            return;
        }
        rest();
        if (context.drain().isClosingConnections()) {
            context.eviction().closeIfIdle(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrorHandler.check(cause);
        context.count(Reason.CONNECTION_ERROR);
        channel.close();
    }
}
