package caperrudder.server.discovery;

import caperrudder.api.HostListKind;
import caperrudder.server.GatewayServer;
import caperrudder.server.downstream.RequestParser;
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
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Asks for the list of hosts, then watches it without a break. A call that fails is made again; beside one that is
 * silent another is made, and whichever is answered first goes on: a call that only waits in line keeps its turn, and
 * one that an agent left unanswered while it was cut off may still be answered at its return.
 */
public final class DiscoveryClient {
    private static final Log LOG = Log.of("discovery");
    private static final long NONE = -1;
    private static final String PATH = "/v1/servers";
    private static final double MS_PER_SECOND = 1000;
    /**
     * How much of a list is read in one turn of the event loop: a quarter of a millisecond's work, beside which
     * requests are served.
     */
    static final int SLICE_BYTES = 16 * 1024;

    private static final int FIRST_SLICE_BYTES = 2 * 1024; // of an answer: most lists are short

    private final GatewayServer node;
    private final DiscoveryTimings times;
    private InetSocketAddress agent;
    private Calls current; // what an earlier one still hears or fails is of no interest
    private Calls beside; // asked because the current one is silent, or null
    private final Promise<Void> heard; // once there is a first answer
    private int failures; // since the last good answer
    private boolean moved; // and none has come from the agent that is asked since
    private long version; // of the list that is held; NONE where the whole list is still to come

    /** {@code known}: the list that is held from the start on, or null. */
    public DiscoveryClient(GatewayServer node, EndpointList known) {
        this.node = node;
        this.agent = node.config.discovery();
        this.times = new DiscoveryTimings(
                !node.config.settings().subscribesToHosts(),
                node.config.settings().rules().drainGraceMs(),
                node.config.settings().seed());
        this.heard = node.loop.newPromise();
        this.version = versionOf(known);
    }

    /**
     * Of a list that holds something; where a fleet starts, all ask, and what changed since is a fraction of the
     * whole list. It would be wrong only where an agent numbers anew, which is told by a whole list or an error.
     */
    private static long versionOf(EndpointList known) {
        return known == null || known.entries().isEmpty() ? NONE : known.version();
    }

    /** Done with the first answer; after {@code patienceMs} without one, too. */
    public Future<Void> start(long patienceMs) {
        current = open(true); // an answer at once, also where nothing is new
        node.loop.schedule(() -> heard.trySuccess(null), patienceMs, TimeUnit.MILLISECONDS);
        return heard;
    }

    /** Turns to another agent, whose versions need not go on from those of the old one: the whole list is due. */
    public void move(InetSocketAddress to) {
        if (to.equals(agent)) {
            return;
        }
        List<Calls> left = new ArrayList<>(List.of(current));
        if (beside != null) {
            left.add(beside);
        }
        agent = to;
        version = NONE;
        failures = 0;
        moved = true;
        beside = null;
        current = open(true);
        left.forEach(Calls::drop);
    }

    /** {@code prompt}: the first call is to be answered at once. */
    private Calls open(boolean prompt) {
        Calls calls = new Calls(prompt);
        ChannelFuture connecting = new Bootstrap()
                .group(node.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DiscoveryTimings.CONNECT_MS)
                .option(ChannelOption.RCVBUF_ALLOCATOR, slices())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), calls);
                    }
                })
                .connect(agent);
        calls.channel = connecting.channel();
        connecting.addListener(f -> {
            if (!f.isSuccess()) { // where no descriptor was left it is told on another thread
                node.loop.execute(() -> ended(calls));
            }
        });
        return calls;
    }

    /** One slice, and then others have their turn of the loop. */
    private static RecvByteBufAllocator slices() {
        return new AdaptiveRecvByteBufAllocator(FIRST_SLICE_BYTES, FIRST_SLICE_BYTES, SLICE_BYTES)
                .maxMessagesPerRead(1);
    }

    private void askBeside() {
        if (beside == null) {
            beside = open(true);
            beside.expectWithin(times.besideMs());
        }
    }

    private void ended(Calls calls) {
        calls.stopTimeout(); // else it would ask beside a rest
        if (calls == beside) {
            beside = null;
            Calls silent = current;
            later(calls, true, () -> {
                if (silent == current) {
                    askBeside();
                }
            });
        } else if (calls == current && beside != null) {
            current = beside;
            beside = null;
        } else if (calls == current) {
            later(calls, moved, () -> {
                if (calls == current) {
                    current = open(true); // a watch that is silent would show that only after its wait
                }
            });
        }
    }

    /** {@code late}: the time in which news count as told has begun before the call that failed. */
    private void later(Calls failed, boolean late, Runnable again) {
        int before = failures++;
        long pause = failed.tooLong ? times.tooLongMs() : times.pauseMs(failed.toldMs, before, late);
        node.loop.schedule(again, pause, TimeUnit.MILLISECONDS);
    }

    /** What was answered first is followed from now on. */
    private void follow(Calls answered) {
        Calls other = answered == current ? beside : current;
        current = answered;
        beside = null;
        failures = 0;
        moved = false;
        if (other != null) {
            other.drop();
        }
        heard.trySuccess(null);
    }

    /** For how long an answer asks to stay away; 0 where it does not say. */
    private static double toldMs(HttpResponse response) {
        String text = response.headers().get(HttpHeaderNames.RETRY_AFTER);
        return Math.max(0, MS_PER_SECOND * RequestParser.plain(text, true));
    }

    /** The calls on one connection to an agent. */
    private final class Calls extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;
        private Future<?> timeout;
        private double toldMs;
        private boolean tooLong; // what it was told is more than memory holds
        private boolean prompt; // the next call is to be answered at once
        private EndpointListReader list; // that is being told, or null
        private byte[] slice;
        private boolean keepAlive;

        Calls(boolean prompt) {
            this.prompt = prompt;
            expectWithin(times.firstMs());
        }

        void drop() {
            channel.close();
        }

        private boolean isHeard() {
            return this == current || this == beside;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (isHeard()) {
                call();
            } else {
                ctx.close();
            }
        }

        private void call() {
            boolean whole = version == NONE;
            long hold = whole || prompt ? 0 : times.holdMs();
            prompt = false;
            String uri = whole ? PATH : PATH + "?from=" + version + "&hold_ms=" + hold;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            channel.writeAndFlush(request, channel.voidPromise());
            if (this == current && hold > 0) {
                expectWithin(hold + times.lineMs());
            }
        }

        /** Whoever is silent for longer is doubted: beside the current call another one is made. */
        void expectWithin(double ms) {
            stopTimeout();
            timeout = node.loop.schedule(
                    () -> {
                        if (this == beside) {
                            drop();
                        } else if (this == current) {
                            askBeside();
                        }
                    },
                    (long) ms,
                    TimeUnit.MILLISECONDS);
        }

        private void stopTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) throws IOException {
            if (!isHeard()) {
                return; // of an agent that was left, or late: its word may be older than what was told since
            }
            if (part.decoderResult().isFailure()) {
                throw new IOException("an answer that is no HTTP: "
                        + part.decoderResult().cause().getMessage());
            }
            if (part instanceof HttpResponse httpResponse) {
                begun(httpResponse);
            }
            if (part instanceof HttpContent httpContent && list != null) {
                read(httpContent.content());
                if (part instanceof LastHttpContent) {
                    told(ctx);
                }
            }
        }

        private void begun(HttpResponse response) throws IOException {
            if (!response.status().equals(HttpResponseStatus.OK)) {
                toldMs = toldMs(response);
                if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
                    version = NONE; // it may not know the version that was asked for
                }
                throw new IOException("discovery answered " + response.status());
            }
            keepAlive = HttpUtil.isKeepAlive(response);
            list = new EndpointListReader(EndpointListReader.limitBytes());
            try {
                list.announce(HttpUtil.getContentLength(response, 0L));
            } catch (EndpointList.TooLong e) {
                throw refused(e);
            }
        }

        /** It will hardly be shorter the next moment; the list that is held serves on. */
        private EndpointList.TooLong refused(EndpointList.TooLong list) {
            tooLong = true;
            return list;
        }

        private void read(ByteBuf text) throws IOException {
            if (slice == null) {
                slice = new byte[SLICE_BYTES];
            }
            try {
                while (text.isReadable()) {
                    int length = Math.min(slice.length, text.readableBytes());
                    text.readBytes(slice, 0, length);
                    list.feed(slice, 0, length);
                }
            } catch (EndpointList.TooLong e) {
                throw refused(e);
            } catch (IOException e) {
                version = NONE; // what it told is lost, and the whole list holds it too
                throw e;
            }
        }

        private void told(ChannelHandlerContext ctx) throws IOException {
            EndpointList told;
            try {
                told = list.finish();
            } catch (IOException e) {
                version = NONE;
                throw e;
            } finally {
                dropList();
            }
            if (told.full() && told.entries().isEmpty() && node.knowsHosts()) {
                throw new IOException("an empty list"); // a fleet with no host at all is less likely than a fault
            }
            follow(this);
            version = told.version();
            if (keepAlive) {
                call(); // the next call first, so that no change falls between
            } else {
                stopTimeout();
                ctx.close();
            }
            if (told.full() || !told.entries().isEmpty()) {
                node.hostsTold(told.full() ? HostListKind.FULL : HostListKind.CHANGES, told.entries());
            }
        }

        private void dropList() {
            if (list != null) {
                list.close();
                list = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            dropList();
            ended(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrorHandler.check(cause);
            if (failures == 0 && isHeard()) { // one line for a spell of failures, however often it is asked
                LOG.warn(
                        "poll failed",
                        "reason",
                        String.valueOf(cause.getMessage()).lines().findFirst().orElse(""));
            }
            dropList();
            ctx.close();
        }
    }
}
