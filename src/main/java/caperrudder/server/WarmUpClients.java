package caperrudder.server;

import caperrudder.api.Idempotency;
import caperrudder.api.Plan;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.server.http.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** The synthetic clients of a {@link StartupWarmUp}: each sends a few requests on a connection, then comes another. */
final class WarmUpClients {
    private static final int CLIENTS = 12;
    private static final int REQUESTS_PER_CONNECTION = 4;
    private static final int CUSTOMERS = 256;
    private static final int BODY_MAX_BYTES = WarmUpHosts.BODY_BYTES;

    private final EventLoopGroup group;
    private final Settings settings;
    private final InetSocketAddress gateway;
    private final CountDownLatch missingAnswers;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ByteBuf body = Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(new byte[BODY_MAX_BYTES]));
    private int requests; // on the group's one event loop
    private volatile boolean closing;

    /** Counts {@code missingAnswers} down by each answer. */
    WarmUpClients(EventLoopGroup group, Settings settings, InetSocketAddress gateway, CountDownLatch missingAnswers) {
        this.group = group;
        this.settings = settings;
        this.gateway = gateway;
        this.missingAnswers = missingAnswers;
    }

    void start() {
        group.execute(() -> {
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
        });
    }

    void close() throws InterruptedException {
        closing = true;
        connections.close().await();
    }

    private void connect() {
        StartupWarmUp.TRANSPORT
                .client(group.next())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(BODY_MAX_BYTES),
                                        new ResponseHandler());
                    }
                })
                .connect(StartupWarmUp.TRANSPORT.at(gateway));
    }

    private FullHttpRequest nextRequest() {
        int number = requests++;
        List<RequestClass> classes = settings.classes();
        RequestClass requestClass = classes.get(number % classes.size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                idempotent ? HttpMethod.GET : HttpMethod.POST,
                '/' + requestClass.name() + "/warm",
                idempotent ? Unpooled.EMPTY_BUFFER : body.duplicate());
        int customer = number % CUSTOMERS;
        List<Plan> plans = settings.plans();
        request.headers()
                .set(HttpHeaderNames.HOST, "warm")
                .set(RequestHeaders.TRACE_ID, Integer.toString(number))
                .set(RequestHeaders.PLAN, plans.get(customer % plans.size()).name())
                .set(RequestHeaders.CUSTOMER, String.format("%016x", customer))
                .set(RequestHeaders.EXPIRES_IN_MS, Integer.toString((int) requestClass.clientTimeoutMs()))
                .set(RequestHeaders.QUOTA, "units=1,spread=" + (1 + customer % 2) + ",first=0")
                .set(RequestHeaders.IDEMPOTENCY_KEY, Integer.toString(number))
                .setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return request;
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private int sent;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            send(ctx);
        }

        private void send(ChannelHandlerContext ctx) {
            sent++;
            ctx.writeAndFlush(nextRequest(), ctx.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            missingAnswers.countDown();
            if (sent < REQUESTS_PER_CONNECTION) {
                send(ctx);
                return;
            }
            ctx.close();
            if (!closing) {
                connect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // an answer may cross the end of the warm-up
        }
    }
}
