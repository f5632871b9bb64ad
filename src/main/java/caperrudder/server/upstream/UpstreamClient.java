package caperrudder.server.upstream;

import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Outcome;
import caperrudder.server.discovery.EndpointList;
import caperrudder.server.http.RequestBody;
import caperrudder.server.http.RequestHeaders;
import caperrudder.server.runtime.EventLoopContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** The pools of connections to hosts, and what is sent on them. */
public final class UpstreamClient {
    static final String HOST = "backend.local";
    private static final double IDLE_SHARE = 0.6; // of the time after which a host may close an idle connection
    private static final double REST_MS = 10; // an answer's second copy comes up to some milliseconds after it
    private static final long SWEEP_MS = 500;

    private final EventLoopContext eventLoop;
    private final double idleMaxMs;
    private final IntSupplier maxConnections;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Bootstrap bootstrap;
    private int connections;

    public UpstreamClient(
            EventLoopContext eventLoop, double connectTimeoutMs, double idleMs, IntSupplier maxConnections) {
        this.eventLoop = eventLoop;
        this.idleMaxMs = idleMs * IDLE_SHARE;
        this.maxConnections = maxConnections;
        this.bootstrap = eventLoop
                .transport()
                .client(eventLoop.loop())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMs));
        eventLoop.loop().schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** The connections to one host at one address in one life of its process. */
    private static final class Pool implements UpstreamConnection.Home {
        final InetSocketAddress address;
        final double startedMs;
        /** The last used at the end; it begins small, since a gateway asks few of the hosts in a long list. */
        final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(0);

        boolean closed;
        boolean draining;

        Pool(InetSocketAddress address, double startedMs) {
            this.address = address;
            this.startedMs = startedMs;
        }

        /** Whether its host, in the same life, still takes new work. */
        boolean takesNew() {
            return !closed && !draining;
        }

        /** The last used that has rested, taken out; null where there is none. */
        UpstreamConnection rested(double now) {
            Iterator<UpstreamConnection> latest = idle.descendingIterator();
            while (latest.hasNext()) {
                UpstreamConnection c = latest.next();
                if (now - c.idleSince() >= REST_MS) {
                    latest.remove();
                    return c;
                }
            }
            return null;
        }

        @Override
        public boolean closed() {
            return closed;
        }

        @Override
        public void resting(UpstreamConnection c) {
            idle.addLast(c);
        }

        @Override
        public void gone(UpstreamConnection c) {
            idle.remove(c);
        }
    }

    // ---- the list

    public void update(HostListKind kind, List<EndpointList.Entry> entries) {
        Set<String> named = new HashSet<>();
        for (EndpointList.Entry e : entries) {
            String id = e.host().id();
            named.add(id);
            Pool old = pools.get(id);
            boolean same = old != null
                    && old.address.equals(e.address())
                    && old.startedMs == e.host().startedMs();
            if (e.host().state() == HostState.GONE) {
                pools.remove(id);
                close(old);
            } else if (!same && e.address() != null) {
                pools.put(id, new Pool(e.address(), e.host().startedMs()));
                close(old);
            }
            Pool now = pools.get(id);
            if (now != null) {
                now.draining = e.host().state() == HostState.DRAINING;
            }
        }
        if (kind != HostListKind.CHANGES) {
            pools.entrySet().removeIf(p -> {
                boolean absent = !named.contains(p.getKey());
                if (absent) {
                    close(p.getValue());
                }
                return absent;
            });
        }
    }

    /** Whether the list names any host. */
    public boolean hasHosts() {
        return !pools.isEmpty();
    }

    private void close(Pool pool) {
        if (pool != null) {
            pool.closed = true;
            List.copyOf(pool.idle).forEach(UpstreamConnection::close);
        }
    }

    private void closeIdle() {
        eventLoop.loop().schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
        double before = eventLoop.clock().now() - idleMaxMs;
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSince() < before) {
                pool.idle.pollFirst().close();
            }
        }
    }

    /** Makes room for one more connection at the cost of one that is idle somewhere. */
    private boolean room() {
        if (connections < maxConnections.getAsInt()) {
            return true;
        }
        for (Pool pool : pools.values()) {
            UpstreamConnection c = pool.idle.pollFirst();
            if (c != null) {
                c.close();
                return true;
            }
        }
        return false;
    }

    // ---- asking

    /** Sends the request to the host; the exchange may end at once, before this returns. */
    public void send(String host, UpstreamExchange x, ForwardedRequest request) {
        start(host, x, c -> write(x, request, c));
    }

    private void write(UpstreamExchange x, ForwardedRequest request, UpstreamConnection c) {
        HttpRequest from = request.head();
        RequestBody body = request.body();
        if (body.isBuffered()) {
            ByteBuf content = body.copy();
            FullHttpRequest to = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), content);
            setHeaders(request, to);
            if (!from.method().equals(HttpMethod.GET)) {
                to.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            }
            c.write(x, to);
            return;
        }
        HttpRequest to = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri());
        setHeaders(request, to);
        long length = HttpUtil.getContentLength(from, -1L);
        if (length >= 0) {
            to.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            to.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        c.write(x, to, body);
    }

    private void setHeaders(ForwardedRequest request, HttpRequest to) {
        HttpRequest from = request.head();
        HttpHeaders h = to.headers();
        h.set(HttpHeaderNames.HOST, HOST);
        h.set(RequestHeaders.TRACE_ID, request.id());
        h.set(RequestHeaders.EXPIRES_IN_MS, Long.toString((long)
                request.timeLeftMs(eventLoop.clock().now())));
        String key = from.headers().get(RequestHeaders.IDEMPOTENCY_KEY);
        if (key != null) {
            h.set(RequestHeaders.IDEMPOTENCY_KEY, key);
        }
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            h.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
    }

    void start(String host, UpstreamExchange x, MessageWriter message) {
        Pool pool = pools.get(host);
        if (pool == null) {
            x.ended(Outcome.CONNECT_FAILED, null); // its address was taken from the list
            return;
        }
        for (UpstreamConnection c = pool.rested(eventLoop.clock().now());
                c != null;
                c = pool.rested(eventLoop.clock().now())) {
            if (c.ready()) {
                message.writeTo(c);
                return;
            }
        }
        if (!room()) {
            x.ended(Outcome.CONNECT_FAILED, null);
            return;
        }
        connect(pool, x, message);
    }

    /** Writes the message of an exchange once it has its connection. */
    interface MessageWriter {
        void writeTo(UpstreamConnection c);
    }

    private void connect(Pool pool, UpstreamExchange x, MessageWriter message) {
        connections++;
        UpstreamConnection c = new UpstreamConnection(pool, eventLoop.clock(), eventLoop.budget());
        c.await(x);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        c.attach(ch);
                    }
                })
                .connect(eventLoop.transport().at(pool.address));
        connecting.addListener(f -> {
            if (!f.isSuccess()) { // also where no descriptor was left: that is told at once and on another thread
                eventLoop.loop().execute(() -> {
                    connections--;
                    c.lost();
                });
                return;
            }
            connecting.channel().closeFuture().addListener(closed -> connections--);
            if (!c.awaits(x)) {
                return;
            }
            // While it came up the list may have told that the host drains, is gone or has started anew, and the
            // client may have left: what reached no host yet is then not sent.
            if (pool.takesNew() && x.isWanted()) {
                message.writeTo(c);
            } else {
                c.lost();
                c.close();
            }
        });
    }
}
