package caperrudder.server.discovery;

import caperrudder.server.http.HeaderValues;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One connection to a discovery agent and the polls on it: the first is answered at once, the further ones watch. Reads
 * lists as they come and hands them to its {@link DiscoveryClient}, which decides whether it is still followed. On the
 * event loop only.
 */
final class DiscoveryConnection extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * How much of a list is read in one turn of the event loop: a quarter of a millisecond's work, beside which
     * requests are served.
     */
    static final int SLICE_BYTES = 16 * 1024;

    private static final int FIRST_SLICE_BYTES = 2 * 1024; // of an answer: most lists are short
    private static final Log LOG = Log.of("discovery");
    private static final String PATH = "/v1/servers";
    private static final String HOST = "discovery";
    private static final double MS_PER_SECOND = 1000;

    private final DiscoveryClient client;
    private final EventLoop loop;
    private final DiscoveryTimings timings;
    private Channel channel;
    private Future<?> timeout;
    private boolean firstPoll = true;
    private boolean keepAlive;
    private EndpointListReader reader; // of the list that is coming, or null
    private byte[] slice; // once a list has come
    private double retryAfterMs;
    private boolean listTooLong;

    DiscoveryConnection(DiscoveryClient client, EventLoop loop, DiscoveryTimings timings) {
        this.client = client;
        this.loop = loop;
        this.timings = timings;
        expectAnswerWithin(timings.firstAnswerMs());
    }

    void connect(InetSocketAddress agent) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DiscoveryTimings.CONNECT_TIMEOUT_MS)
                .option(ChannelOption.RCVBUF_ALLOCATOR, slices())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), DiscoveryConnection.this);
                    }
                })
                .connect(agent);
        channel = connecting.channel();
        connecting.addListener(f -> {
            if (!f.isSuccess()) { // where no descriptor was left this is reported on another thread
                loop.execute(this::closed);
            }
        });
    }

    /** One slice a turn, and then others have theirs. */
    private static RecvByteBufAllocator slices() {
        return new AdaptiveRecvByteBufAllocator(FIRST_SLICE_BYTES, FIRST_SLICE_BYTES, SLICE_BYTES)
                .maxMessagesPerRead(1);
    }

    void close() {
        channel.close();
    }

    /** For how long the last answer asked to stay away; 0 where it did not. */
    double retryAfterMs() {
        return retryAfterMs;
    }

    /** Whether the connection ended for a list that memory does not hold. */
    boolean wasListTooLong() {
        return listTooLong;
    }

    /** Reports this connection as silent after {@code ms}, unless it is called again or ends before. */
    void expectAnswerWithin(double ms) {
        stopTimeout();
        timeout = loop.schedule(() -> client.onSilence(this), (long) ms, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    private void closed() {
        stopTimeout(); // else it would hedge during a backoff
        client.onClosed(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (client.isFollowed(this)) {
            poll();
        } else {
            ctx.close();
        }
    }

    /** Asks for the whole list, or for what has changed since the version that is held. */
    private void poll() {
        long version = client.version();
        boolean wholeList = version == DiscoveryClient.NO_VERSION;
        long watchMs = wholeList || firstPoll ? 0 : timings.watchMs();
        firstPoll = false;
        String uri = wholeList ? PATH : PATH + "?from=" + version + "&hold_ms=" + watchMs;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, HOST);
        channel.writeAndFlush(request, channel.voidPromise());
        if (client.isCurrent(this) && watchMs > 0) {
            expectAnswerWithin(watchMs + timings.queueMs());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) throws IOException {
        if (!client.isFollowed(this)) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            throw new IOException(
                    "an answer that is no HTTP: " + part.decoderResult().cause().getMessage());
        }
        if (part instanceof HttpResponse response) {
            beginAnswer(response);
        }
        if (part instanceof HttpContent content && reader != null) {
            readList(content.content());
            if (part instanceof LastHttpContent) {
                endAnswer(ctx);
            }
        }
    }

    private void beginAnswer(HttpResponse response) throws IOException {
        if (!response.status().equals(HttpResponseStatus.OK)) {
            retryAfterMs = readRetryAfterMs(response);
            if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
                client.forgetVersion(); // the agent may not know the version that was asked for
            }
            throw new IOException("discovery answered " + response.status());
        }
        keepAlive = HttpUtil.isKeepAlive(response);
        reader = new EndpointListReader(EndpointListParser.maxBytes());
        try {
            reader.announce(HttpUtil.getContentLength(response, 0L));
        } catch (EndpointListTooLongException e) {
            listTooLong = true;
            throw e;
        }
    }

    private static double readRetryAfterMs(HttpResponse response) {
        String text = response.headers().get(HttpHeaderNames.RETRY_AFTER);
        return Math.max(0, MS_PER_SECOND * HeaderValues.parseNumber(text, true));
    }

    private void readList(ByteBuf text) throws IOException {
        if (slice == null) {
            slice = new byte[SLICE_BYTES];
        }
        try {
            while (text.isReadable()) {
                int length = Math.min(slice.length, text.readableBytes());
                text.readBytes(slice, 0, length);
                reader.feed(slice, 0, length);
            }
        } catch (EndpointListTooLongException e) {
            listTooLong = true; // the list that is held serves on
            throw e;
        } catch (IOException e) {
            client.forgetVersion(); // the changes are lost, and the whole list holds them too
            throw e;
        }
    }

    private void endAnswer(ChannelHandlerContext ctx) throws IOException {
        EndpointList list = finishList();
        client.accept(this, list);
        if (keepAlive) {
            poll();
        } else {
            stopTimeout();
            ctx.close();
        }
        client.deliver(list);
    }

    private EndpointList finishList() throws IOException {
        try {
            return reader.finish();
        } catch (IOException e) {
            client.forgetVersion();
            throw e;
        } finally {
            dropReader();
        }
    }

    private void dropReader() {
        if (reader != null) {
            reader.close();
            reader = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        dropReader();
        closed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrorHandler.check(cause);
        if (client.isFirstFailure() && client.isFollowed(this)) { // one line for a row of failures
            LOG.warn("poll failed", "reason", firstLine(cause));
        }
        dropReader();
        ctx.close();
    }

    private static String firstLine(Throwable cause) {
        return String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
    }
}
