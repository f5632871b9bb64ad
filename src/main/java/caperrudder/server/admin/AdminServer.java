package caperrudder.server.admin;

import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The admin address, for the platform and the staff (page DEPLOY, docs/on-call.md): readiness and metrics, one request
 * a connection. It has an event loop and a thread of its own, so that it answers in time whatever the event loop that
 * serves clients is busy with.
 */
public final class AdminServer implements Closeable {
    private static final String READY = "/api/ready";
    private static final String TELEMETRY = "/api/telemetry";
    private static final String ALLOWED = "GET, HEAD";
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final long CONNECTION_MAX_MS = 2000; // from a connection's start to its end
    private static final int BACKLOG = 128;

    private final BooleanSupplier ready;
    private final Supplier<MetricsSnapshot> metrics;
    private final int maxConnections;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final LinkedHashSet<Channel> connections = new LinkedHashSet<>(); // the oldest first
    private final Channel listener;

    /**
     * Listens at once.
     *
     * @param maxConnections at which the oldest connection is closed for a new one
     * @param ready whether clients are served; asked on this server's own thread, as is {@code metrics}
     * @throws IOException where the address can't be had
     */
    public AdminServer(
            InetSocketAddress address, int maxConnections, BooleanSupplier ready, Supplier<MetricsSnapshot> metrics)
            throws IOException {
        this.ready = ready;
        this.metrics = metrics;
        this.maxConnections = maxConnections;
        try {
            listener = bootstrap().bind(address).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // Netty throws what failed as it is, checked or not
            close();
            throw new IOException("can't listen: " + e.getMessage(), e);
        }
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, Transport.accepting())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(), new RequestHandler());
                    }
                });
    }

    /** The port of the listener, where the address left it to the system. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private FullHttpResponse answer(HttpRequest request) {
        int query = request.uri().indexOf('?');
        String path = query < 0 ? request.uri() : request.uri().substring(0, query);
        if (!path.equals(READY) && !path.equals(TELEMETRY)) {
            return response(HttpResponseStatus.NOT_FOUND, "not found\n");
        }
        if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.HEAD)) {
            FullHttpResponse notAllowed = response(HttpResponseStatus.METHOD_NOT_ALLOWED, "not allowed\n");
            notAllowed.headers().set(HttpHeaderNames.ALLOW, ALLOWED);
            return notAllowed;
        }
        if (path.equals(TELEMETRY)) {
            return response(HttpResponseStatus.OK, metrics.get().toPrometheusText());
        }
        return ready.getAsBoolean()
                ? response(HttpResponseStatus.OK, "ready\n")
                : response(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return response;
    }

    /** One connection; whatever becomes of its request, it ends in time. */
    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest request;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= maxConnections) { // a caller that sends nothing must not keep others out
                Channel oldest = connections.iterator().next();
                connections.remove(oldest);
                oldest.close();
            }
            Channel channel = ctx.channel();
            connections.add(channel);
            ScheduledFuture<?> timeout =
                    ctx.executor().schedule(() -> channel.close(), CONNECTION_MAX_MS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(f -> {
                timeout.cancel(false);
                connections.remove(channel);
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (answered) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                write(ctx, response(HttpResponseStatus.BAD_REQUEST, "bad request\n"));
                return;
            }
            if (message instanceof HttpRequest httpRequest) {
                request = httpRequest;
            }
            if (message instanceof LastHttpContent) {
                write(ctx, answer(request));
            }
        }

        private void write(ChannelHandlerContext ctx, FullHttpResponse response) {
            answered = true;
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrorHandler.check(cause);
            ctx.close();
        }
    }
}
