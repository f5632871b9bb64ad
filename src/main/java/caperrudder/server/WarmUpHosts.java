package caperrudder.server;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.server.discovery.EndpointList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The synthetic hosts of a {@link StartupWarmUp}: they answer at once, now and then as hosts with faults do. */
final class WarmUpHosts {
    static final int BODY_BYTES = 256; // of an answer; also the longest body of a request

    private static final int HOSTS = 4;
    private static final int FAULT_EVERY = 16; // answers, among which each fault comes once
    private static final int REJECTS = 0;
    private static final int FAILS = 1;
    private static final int CLOSES = 2;

    private final EventLoopGroup group;
    private final String zone;
    private final List<EndpointList.Entry> endpoints = new ArrayList<>();
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ByteBuf body = Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
    private int served; // on the group's one event loop

    WarmUpHosts(EventLoopGroup group, String zone) {
        this.group = group;
        this.zone = zone;
    }

    /** Listens at the addresses from this number on. */
    void listen(int firstAddress) throws InterruptedException {
        for (int i = 0; i < HOSTS; i++) {
            InetSocketAddress address = StartupWarmUp.address(firstAddress + i);
            Host host = new Host("warm-" + i, zone, "", 0, HostState.RUNNING, 1, 0);
            endpoints.add(new EndpointList.Entry(host, address));
            StartupWarmUp.TRANSPORT
                    .server(group)
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new HttpServerCodec(),
                                            new HttpObjectAggregator(BODY_BYTES),
                                            new RequestHandler());
                        }
                    })
                    .bind(StartupWarmUp.TRANSPORT.at(address))
                    .sync();
        }
    }

    List<EndpointList.Entry> endpoints() {
        return endpoints;
    }

    void close() throws InterruptedException {
        connections.close().await();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            int fault = served++ % FAULT_EVERY;
            FullHttpResponse response = response(fault);
            if (fault == CLOSES) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.writeAndFlush(response, ctx.voidPromise());
            }
        }

        private FullHttpResponse response(int fault) {
            HttpResponseStatus status = HttpResponseStatus.OK;
            if (fault == REJECTS) {
                status = HttpResponseStatus.SERVICE_UNAVAILABLE;
            } else if (fault == FAILS) {
                status = HttpResponseStatus.INTERNAL_SERVER_ERROR;
            }
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body.duplicate());
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (fault == REJECTS) {
                response.headers().set("X-Never-Ran", "1");
            }
            return response;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // a request may cross the end of the connection
        }
    }
}
