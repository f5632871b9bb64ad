package caperrudder.server.admin;

import caperrudder.server.runtime.DescriptorBudget;
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
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The second address, for the platform and the staff: one call to a connection. It has a thread of its own, so that
 * it answers in time whatever the event loop that serves clients is busy with.
 */
public final class AdminServer implements Closeable {
    private static final String READY = "/api/ready";
    private static final String TELEMETRY = "/api/telemetry";
    private static final String ALLOWED = "GET, HEAD";
    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";
    private static final long CALL_MS = 2000; // from a connection's start to its end
    private static final int BACKLOG = 128;

    private final BooleanSupplier ready;
    private final Supplier<MetricsSnapshot> figures;
    private final int maxConnections;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final LinkedHashSet<Channel> waiting = new LinkedHashSet<>(); // no whole call yet; the oldest first
    private final Channel listener;

    /** Listens at once; {@code ready} and {@code figures} are asked on this address's own thread. */
    public AdminServer(InetSocketAddress at, int sockets, BooleanSupplier ready, Supplier<MetricsSnapshot> figures)
            throws IOException {
        this.ready = ready;
        this.figures = figures;
        this.maxConnections = DescriptorBudget.exclusive(sockets).admin();
        try {
            listener = new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, Transport.accepting())
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpServerCodec(), new Call());
                        }
                    })
                    .bind(at)
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // netty throws what failed as it is, checked or not
            close();
            throw new IOException("no second address: " + e.getMessage(), e);
        }
    }

    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private FullHttpResponse answer(HttpRequest asked) {
        int query = asked.uri().indexOf('?');
        String path = query < 0 ? asked.uri() : asked.uri().substring(0, query);
        if (!path.equals(READY) && !path.equals(TELEMETRY)) {
            return response(HttpResponseStatus.NOT_FOUND, "not found\n");
        }
        if (!asked.method().equals(HttpMethod.GET) && !asked.method().equals(HttpMethod.HEAD)) {
            FullHttpResponse not = response(HttpResponseStatus.METHOD_NOT_ALLOWED, "not allowed\n");
            not.headers().set(HttpHeaderNames.ALLOW, ALLOWED);
            return not;
        }
        if (path.equals(TELEMETRY)) {
            return response(HttpResponseStatus.OK, figures.get().text());
        }
        return ready.getAsBoolean()
                ? response(HttpResponseStatus.OK, "ready\n")
                : response(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
        FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        r.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, TEXT)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return r;
    }

    /** One connection; whatever becomes of its call, it ends in time. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest asked;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (waiting.size() >= maxConnections) { // a caller that says nothing must not keep others out
                Channel oldest = waiting.iterator().next();
                waiting.remove(oldest);
                oldest.close();
            }
            Channel channel = ctx.channel();
            waiting.add(channel);
            var end = ctx.executor().schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(f -> {
                end.cancel(false);
                waiting.remove(channel);
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
                asked = httpRequest;
            }
            if (message instanceof LastHttpContent) {
                write(ctx, answer(asked));
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
