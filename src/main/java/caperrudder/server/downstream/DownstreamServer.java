package caperrudder.server.downstream;

import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.server.http.HeaderValues;
import caperrudder.server.http.RequestBody;
import caperrudder.server.http.RequestHeaders;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Accepts clients and writes the one answer to each request; decides which connections stay open. */
public final class DownstreamServer {
    private static final int PIPELINED = 16; // requests read ahead on one connection; then reading stops
    private static final double PRESSED_SHARE = 0.5; // of the connections that fit: then idle ones give way early
    private static final long SWEEP_MS = 100;
    private static final double SILENT_MS = 2600; // for the first request: true clients take up to 2 s for a head
    private static final double STUCK_MS = 20_000; // in which a client takes nothing of an answer on its way
    private static final double GIVES_WAY_MS = 2200; // idle for so long, a connection may be closed for room
    private static final double IDLE_MS = 20_000; // idle for so long, it is closed
    private static final int ASKED_ONCE = 1; // requests on a connection that need not bring another
    private static final int FAULTS = 2; // bad requests on a connection, from which it is read only now and then
    private static final long PAUSE_MS = 200; // such a connection is not read for so long after each
    private static final long LINGER_MS =
            300; // for the client's end, behind the last answer; shorter than an exit may take
    private static final double MS_PER_SECOND = 1000;
    private static final String READY = "/healthz";

    private final EventLoopContext eventLoop;
    private final InetSocketAddress address;
    private final RequestParser terms;
    private final IntSupplier maxConnections;
    private final RequestHandler handler;
    private final DrainStatus drain;
    private final double retryAfterMs;
    private final LinkedHashSet<Connection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<Connection> unused = new LinkedHashSet<>(); // no whole request came yet
    private final LinkedHashSet<Connection> casual = new LinkedHashSet<>(); // idle, asked once or for health alone
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>(); // those that ask again and again
    private final LinkedHashSet<Connection> lingering = new LinkedHashSet<>(); // their output has ended
    /** Who gives way first; in each set the one stands first that has sent nothing for longest. */
    private final List<LinkedHashSet<Connection>> givingWay = List.of(unused, casual, idle);

    private Channel listener;

    public DownstreamServer(
            EventLoopContext eventLoop,
            InetSocketAddress address,
            Settings settings,
            IntSupplier maxConnections,
            RequestHandler handler,
            DrainStatus drain) {
        this.eventLoop = eventLoop;
        this.address = address;
        this.terms = new RequestParser(settings);
        this.maxConnections = maxConnections;
        this.handler = handler;
        this.drain = drain;
        this.retryAfterMs = settings.limits().maxRetryAfterMs();
    }

    /** Clients are served once this is done. */
    public ChannelFuture start() {
        ChannelFuture bound = eventLoop
                .transport()
                .server(eventLoop.group())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        Connection client = new Connection(ch);
                        client.reader.addTo(ch.pipeline());
                        ch.pipeline().addLast(client);
                    }
                })
                .bind(eventLoop.transport().at(address));
        listener = bound.channel();
        eventLoop.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    public boolean isStarted() {
        return listener != null;
    }

    public ChannelFuture stopAccepting() {
        return Transport.stopAccepting(listener);
    }

    /** Ends every connection on which nothing is asked, once it has taken its last answer. */
    public void closeIdle() {
        for (LinkedHashSet<Connection> from : givingWay) {
            for (Connection c : List.copyOf(from)) {
                if (!giveUp(c, from, false)) {
                    c.closeOnceTaken();
                }
            }
        }
    }

    /** Ends every connection on which no whole request is open: what is unfinished will not be served any more. */
    public void closeUnfinished() {
        List.copyOf(connections).forEach(Connection::closeUnfinished);
    }

    public boolean isIdle() {
        return connections.isEmpty();
    }

    /** The port of the listener, where the configuration left it to the system. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private int maxConnections() {
        return maxConnections.getAsInt();
    }

    // ---- which connections stay

    /** Silence, and a request that does not get on, end here; so do idle connections, sooner where there are many. */
    private void sweep() {
        eventLoop.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        double now = eventLoop.clock().now();
        for (Connection c : List.copyOf(connections)) {
            if (c.overdue(now)) {
                c.timeOut();
            }
        }
        boolean pressed = connections.size() > maxConnections() * PRESSED_SHARE;
        closeIdle(casual, now - GIVES_WAY_MS);
        closeIdle(idle, now - (pressed ? GIVES_WAY_MS : IDLE_MS));
    }

    private void closeIdle(LinkedHashSet<Connection> from, double since) {
        for (Connection c = first(from); c != null && c.idleSince < since; c = first(from)) {
            giveUp(c, from, false); // it leaves the set either way
        }
    }

    private static Connection first(LinkedHashSet<Connection> from) {
        return from.isEmpty() ? null : from.iterator().next();
    }

    /**
     * Rather a silent connection, then one that asked once, then an idle one, than no descriptor left for anyone; one
     * in use never, and one whose head comes slowly only after all that have stopped. A crowd whose connections come and go must not push out those that bring most of the requests.
     */
    private boolean makeRoom() {
        if (!lingering.isEmpty()) {
            Connection c = first(lingering);
            c.leave();
            c.channel.close();
            return true;
        }
        for (LinkedHashSet<Connection> from : givingWay) {
            for (Connection c = first(from); c != null; c = first(from)) {
                if (giveUp(c, from, true)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Ends a connection unless something has just come: closing that away would lose it. What had stopped may be forced. */
    private boolean giveUp(Connection c, LinkedHashSet<Connection> from, boolean forced) {
        int before = c.whole;
        long reads = c.reader.reads();
        if (c.channel.isActive() && !c.reader.valve().isShut()) {
            Transport.readNow(c.channel);
        }
        boolean free = c.whole == before
                && c.reader.reads() == reads
                && (forced || !c.reader.unfinished())
                && (c.spared || !c.owes());
        c.spared |= c.owes();
        if (free && forced) {
            c.leave(); // now, as its end is told only later
            c.channel.close();
        } else if (free) {
            c.closeGently();
        } else {
            from.remove(c); // it is being asked something, or just was and answered at once
            if (c.whole > before || c.owes()) {
                c.rest();
            } else if (from == unused) {
                from.add(c);
            }
        }
        return free;
    }

    /** One client connection: one request at a time, in order; what is sent ahead waits its turn. */
    public final class Connection extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final RequestReader reader;
        private final ArrayDeque<Object> waiting = new ArrayDeque<>(); // requests, and at the end what is unreadable
        private ReceivedRequest current;
        private RequestBody upload; // of the last request, while there is more of it to come
        private ResponseSource source; // of an answer on its way
        private boolean chunks; // the client reads a body in chunks
        private boolean closes; // the answer on its way is the last
        private boolean unframed; // and only the connection's end tells that it is whole
        private double takenAt; // when the client last took some of it
        private boolean busy;
        private boolean keepAlive = true;
        private boolean ended; // the last answer is on its way
        private double idleSince = eventLoop.clock().now();
        private int whole; // messages that came whole, of whatever kind
        private int requests; // those of them that the module was to decide
        private int faults;
        private boolean paused;
        private boolean spared; // it was to be closed while it had yet to take its last answer

        Connection(Channel channel) {
            this.channel = channel;
            this.reader = new RequestReader(eventLoop.clock(), eventLoop.budget(), this::regulate);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= maxConnections() && !makeRoom()) {
                ended = true;
                channel.close();
                return;
            }
            connections.add(this);
            unused.add(this);
        }

        /** Whether an answer still waits to be taken, or a request for its turn: closing would lose either. */
        private boolean owes() {
            return !waiting.isEmpty()
                    || reader.valve().holds()
                    || channel.isActive()
                            && channel.unsafe().outboundBuffer() != null
                            && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
        }

        private void closeOnceTaken() {
            if (!busy
                    && !ended
                    && owes()
                    && waiting.isEmpty()
                    && !reader.valve().holds()
                    && !reader.unfinished()) {
                ended = true;
                leavePlace();
                closeOnce(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
            }
        }

        private void closeOnce(ChannelFuture written) {
            written.addListener(f -> closeGently());
        }

        /**
         * Ends the output alone, and reads away what still comes until the client ends its side or for a short while: a
         * close over unread bytes resets the connection, and what the client has not taken yet goes with it.
         */
        private void closeGently() {
            ended = true;
            upload = null;
            leavePlace();
            if (!channel.isActive() || !(channel instanceof SocketChannel socketChannel)) {
                channel.close();
                return;
            }
            lingering.add(this);
            reader.valve().discard();
            socketChannel.shutdownOutput();
            eventLoop.loop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        private void closeUnfinished() {
            if (busy || ended || owes()) {
                return; // it ends with its answer
            }
            if (channel.isActive() && !reader.valve().isShut()) {
                Transport.readNow(channel); // the end may have come since
            }
            if (!busy && !ended && !owes()) {
                closeGently();
            }
        }

        private void leave() {
            connections.remove(this);
            lingering.remove(this);
            leavePlace();
        }

        private void leavePlace() {
            unused.remove(this);
            casual.remove(this);
            idle.remove(this);
        }

        /** Takes its place among those that may give way, behind the others of its kind. */
        private void rest() {
            if (!busy && !ended && upload == null) {
                idleSince = eventLoop.clock().now();
                (requests > ASKED_ONCE ? idle : casual).add(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            leave();
            waiting.forEach(Connection::drop);
            waiting.clear();
            ended = true;
            stream(null);
            ReceivedRequest left = current;
            current = null;
            if (left != null) {
                left.clientDisconnected();
            }
        }

        private static void drop(Object message) {
            if (message instanceof RequestReader.Arriving arriving) {
                arriving.body().discard();
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        /** Whether for too long no request has come on a connection that owes one, or none of an answer was taken. */
        private boolean overdue(double now) {
            if (source != null) {
                takenAt = channel.isWritable() ? now : takenAt;
                return now - takenAt > STUCK_MS;
            }
            boolean owes = upload != null || !busy && !ended;
            boolean silent = whole == 0 && !busy && now - idleSince > SILENT_MS;
            return owes && !reader.valve().isShut() && (silent || reader.overdue(now));
        }

        private void timeOut() {
            if (channel.isActive() && !reader.valve().isShut()) {
                Transport.readNow(channel); // it may have come while this loop was busy
            }
            if (!overdue(eventLoop.clock().now())) {
                return;
            }
            keepAlive = false;
            if (source != null) {
                breakOff();
            } else if (upload != null && !busy) { // it was answered, and only its rest did not come
                closeGently();
            } else if (upload != null) {
                giveUpUpload();
                reply(HttpResponseStatus.REQUEST_TIMEOUT, 0);
            } else if (reader.unfinished()) {
                reply(HttpResponseStatus.REQUEST_TIMEOUT, 0);
            } else {
                leave();
                channel.close();
            }
        }

        /** The rest of a request will not come: no host is to wait for it. */
        private void giveUpUpload() {
            ReceivedRequest left = current;
            current = null;
            upload = null;
            if (left != null) {
                left.clientDisconnected();
            }
        }

        /** The last byte of a body has come. */
        private void bodyCame() {
            if (upload == null || !upload.isComplete()) {
                return; // its request still waits its turn
            }
            upload = null;
            if (ended) {
                closeGently(); // it was answered before
            } else if (current != null) {
                current.completed();
            } else {
                rest();
                eventLoop.loop().execute(this::next);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == RequestReader.Asks.BODY_CAME) {
                bodyCame();
            }
            // Ahead of an answer that is still due it would be taken to belong to that one; then the client waits.
            if (event == RequestReader.Asks.TO_GO_ON && !busy && !ended && waiting.isEmpty()) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                        channel.voidPromise());
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            boolean broken = message instanceof RequestReader.Unreadable
                    && upload != null
                    && !upload.isReceived(); // its end can't be found
            if (broken && source != null) { // and its answer is on its way
                breakOff();
            } else if (broken && !busy) { // and its answer is given
                closeGently();
            } else if (broken) {
                giveUpUpload();
                busy = false;
            }
            if (ended || !channel.isOpen()) {
                drop(message);
                return;
            }
            if (message instanceof RequestReader.Unreadable
                    && waiting.peekLast() instanceof RequestReader.Arriving last
                    && !last.body().isReceived()) {
                drop(waiting.pollLast()); // its end will not come
            }
            waiting.add(message);
            if (eventLoop.lag().ms() > 0
                    || reader.valve().isGoingOn()) { // it is old, and its client may have left since
                eventLoop.loop().execute(this::next);
            } else {
                next();
            }
            regulate();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            regulate();
            if (unused.remove(this)) { // it gets on
                unused.add(this);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (source != null) {
                takenAt = eventLoop.clock().now();
                source.setReading(channel.isWritable());
            }
            next();
        }

        /** Reads no further ahead than what waits here may hold. */
        private void regulate() {
            boolean full = reader.arriving() != null && reader.arriving().isFull();
            if (paused || full || waiting.size() >= PIPELINED) {
                reader.valve().shut(!full || upload == null); // whoever waits for an answer may leave
            } else if (reader.valve().isShut()) {
                reader.resume();
                reader.valve().open();
            }
        }

        /** Goes on with what was sent ahead, but only as fast as the client takes the answers. */
        private void next() {
            while (!busy && !ended && !waiting.isEmpty() && channel.isWritable()) {
                Object message = waiting.poll();
                regulate();
                busy = true;
                whole++;
                leavePlace();
                if (message instanceof RequestReader.Unreadable unreadable) {
                    keepAlive = false; // where the next request would begin is not known
                    reply(unreadable.status(), 0);
                } else if (message instanceof RequestReader.Arriving a) {

                    upload = a.body().isComplete() ? null : a.body();
                    regulate();
                    handle(a.head(), a.body());
                } else {
                    handle((HttpRequest) message, RequestBody.buffered(((FullHttpRequest) message).content()));
                }
            }
        }

        private void handle(HttpRequest request, RequestBody body) {
            keepAlive = HttpUtil.isKeepAlive(request);
            chunks = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
            if (request.uri().equals(READY)) {
                body.discard();
                reply(drain.isLeavingAddress() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, 0);
                return;
            }
            double now = eventLoop.clock().now();
            Request read = terms.read(request, body, now, now - eventLoop.lag().ms());
            if (read == null || handler.isOpen(read.id())) {
                boolean unknown = !request.headers().contains(RequestHeaders.TRACE_ID);
                body.discard();
                fault();
                reply(unknown ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, 0);
            } else if (handler.isFull()) {
                body.discard();
                handler.rejectedAtCapacity(read.requestClass());
                reply(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
            } else {
                requests++;
                handler.received(read, request, body, this);
            }
        }

        /** A client that goes on asking what can't be served gets its answers, but not all of the processor. */
        private void fault() {
            if (++faults < FAULTS || paused) {
                return;
            }
            paused = true;
            regulate();
            eventLoop
                    .loop()
                    .schedule(
                            () -> {
                                paused = false;
                                regulate();
                            },
                            PAUSE_MS,
                            TimeUnit.MILLISECONDS);
        }

        /** Whether the client is there still: what stands in its socket is read before the loop comes to it. */
        public boolean isConnected() {
            reader.valve().look();
            return channel.isOpen();
        }

        public void open(ReceivedRequest r) {
            current = r;
        }

        /** Passes a host's answer on as it came. */
        public void relay(FullHttpResponse from) {
            FullHttpResponse to = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, from.content().retain());
            copyType(from, to);
            write(to);
        }

        private void copyType(HttpResponse from, HttpResponse to) {
            String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null && HeaderValues.isWithin(type, ' ', '~')) { // else not to be passed on
                to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
        }

        /** Begins to pass an answer on as it comes, as fast as the client takes it. */
        public void beginResponse(HttpResponse from, ResponseSource attempt) {
            HttpResponse to = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            copyType(from, to);
            long length = HttpUtil.getContentLength(from, -1L);
            if (length >= 0) {
                to.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            } else if (chunks) {
                to.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            unframed = length < 0 && !chunks;
            closes = isLast() || unframed;
            if (closes) {
                to.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            stream(attempt);
            int window = eventLoop.budget().window();
            channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(window / 2, window));
            takenAt = eventLoop.clock().now();
            channel.write(to, channel.voidPromise());
        }

        private void stream(ResponseSource from) {
            if (source == null && from != null) {
                eventLoop.budget().began();
            } else if (source != null && from == null) {
                eventLoop.budget().ended();
            }
            source = from;
        }

        /** Whether the client takes what it is given as fast as that comes. */
        public boolean isWritable() {
            return channel.isWritable();
        }

        public void writePart(ByteBuf part) {
            channel.writeAndFlush(new DefaultHttpContent(part), channel.voidPromise());
            if (source != null) { // else the write has ended the connection
                source.setReading(channel.isWritable());
            }
        }

        /** The answer on its way is whole, or broke: then the client is to see that it is not whole. */
        public void endResponse(boolean whole) {
            stream(null);
            if (whole) {
                over(LastHttpContent.EMPTY_LAST_CONTENT, closes || isLast());
            } else {
                current = null;
                ended = true;
                breakOff();
            }
        }

        /** Ends the connection inside an answer. Where its end alone would tell that the answer is whole, by a reset. */
        private void breakOff() {
            leave();
            if (unframed && channel instanceof SocketChannel socketChannel) {
                socketChannel.config().setSoLinger(0);
            }
            channel.close();
        }

        public void reply(HttpResponseStatus status, double retryAfterMs) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            if (retryAfterMs > 0) {
                response.headers()
                        .set(HttpHeaderNames.RETRY_AFTER, Double.toString(Math.ceil(retryAfterMs) / MS_PER_SECOND));
            }
            write(response);
        }

        private void write(FullHttpResponse response) {
            ByteBuf body = response.content();
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            boolean last = isLast();
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            over(response, last);
        }

        /** Whether the connection ends with this answer: in a drain only after what was sent ahead, too, has its own. */
        private boolean isLast() {
            return !keepAlive || drain.isClosingConnections() && waiting.isEmpty();
        }

        /** Writes the end of an answer. What still comes of its request is read away: a close would reset the answer. */
        private void over(HttpObject end, boolean last) {
            current = null;
            busy = false;
            spared = false;
            ended = last;
            if (upload != null) {
                upload.discard();
            }
            if (ended) {
                ChannelFuture written = channel.writeAndFlush(end);
                if (upload == null) {
                    closeOnce(written);
                }
                return;
            }
            channel.writeAndFlush(end, channel.voidPromise());
            rest();
            if (!waiting.isEmpty()) { // not at once: an answer may be given while the request is being taken
                eventLoop.loop().execute(this::next);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrorHandler.check(cause);
            channel.close();
        }
    }
}
