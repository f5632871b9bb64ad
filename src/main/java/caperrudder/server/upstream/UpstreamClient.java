package caperrudder.server.upstream;

import caperrudder.api.HostListKind;
import caperrudder.api.Outcome;
import caperrudder.server.discovery.EndpointList;
import caperrudder.server.runtime.EventLoopContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Sends requests to hosts, on pooled connections or new ones. On the event loop only. */
public final class UpstreamClient {
    private static final double IDLE_SHARE = 0.6; // of the time after which a host may close an idle connection
    private static final long SWEEP_MS = 500; // how often connections are looked at that may have to end

    private final EventLoopContext eventLoop;
    private final ConnectionPools pools = new ConnectionPools();
    private final Bootstrap bootstrap;
    private final double idleMaxMs;
    private final IntSupplier maxConnections;
    private int connections;

    /**
     * Sends nothing before it has been given hosts.
     *
     * @param connectTimeoutMs after which a connection that has not come up is given up
     * @param idleMs after which a host may close an idle connection
     * @param maxConnections how many connections to hosts there may be now
     */
    public UpstreamClient(
            EventLoopContext eventLoop, double connectTimeoutMs, double idleMs, IntSupplier maxConnections) {
        this.eventLoop = eventLoop;
        this.idleMaxMs = idleMs * IDLE_SHARE;
        this.maxConnections = maxConnections;
        this.bootstrap = eventLoop
                .transport()
                .client(eventLoop.loop())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMs));
        scheduleSweep();
    }

    private void scheduleSweep() {
        eventLoop.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        scheduleSweep();
        pools.closeIdleSince(eventLoop.clock().now() - idleMaxMs);
    }

    /** Follows the endpoint list. */
    public void update(HostListKind kind, List<EndpointList.Entry> entries) {
        pools.update(kind, entries);
    }

    /** Whether the list names any host. */
    public boolean hasHosts() {
        return !pools.isEmpty();
    }

    /** Sends the request to the host; the exchange may end at once, before this returns. */
    public void send(String host, UpstreamExchange exchange, ForwardedRequest request) {
        start(
                host,
                exchange,
                connection -> ForwardedRequestWriter.write(
                        connection, exchange, request, eventLoop.clock().now()));
    }

    /** Writes the message of an exchange once it has its connection. */
    interface MessageWriter {
        void writeTo(UpstreamConnection connection);
    }

    void start(String host, UpstreamExchange exchange, MessageWriter message) {
        ConnectionPool pool = pools.get(host);
        if (pool == null) {
            exchange.ended(Outcome.CONNECT_FAILED, null); // its address was taken from the list
            return;
        }
        UpstreamConnection idle = pollUsable(pool);
        if (idle != null) {
            message.writeTo(idle);
        } else if (hasRoom()) {
            connect(pool, exchange, message);
        } else {
            exchange.ended(Outcome.CONNECT_FAILED, null);
        }
    }

    /** An idle connection that may carry the next exchange; null where there is none. */
    private UpstreamConnection pollUsable(ConnectionPool pool) {
        UpstreamConnection connection = pool.pollRested(eventLoop.clock().now());
        while (connection != null && !connection.isUsable()) {
            connection = pool.pollRested(eventLoop.clock().now());
        }
        return connection;
    }

    /** Makes room for one more connection, if need be at the cost of one that is idle somewhere. */
    private boolean hasRoom() {
        return connections < maxConnections.getAsInt() || pools.closeOneIdle();
    }

    private void connect(ConnectionPool pool, UpstreamExchange exchange, MessageWriter message) {
        connections++;
        UpstreamConnection connection = new UpstreamConnection(pool, eventLoop.clock(), eventLoop.budget());
        connection.assign(exchange);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.attach(channel);
                    }
                })
                .connect(eventLoop.transport().at(pool.address()));
        connecting.addListener(f -> {
            if (!f.isSuccess()) { // also where no descriptor was left: that is reported at once and on another thread
                eventLoop.loop().execute(() -> {
                    connections--;
                    connection.lost();
                });
                return;
            }
            connecting.channel().closeFuture().addListener(closed -> connections--);
            if (connection.carries(exchange)) {
                connected(pool, connection, exchange, message);
            }
        });
    }

    /**
     * While the connection came up the list may have said that the host drains, is gone or has started anew, and the
     * client may have left: what reached no host yet is then not sent.
     */
    private static void connected(
            ConnectionPool pool, UpstreamConnection connection, UpstreamExchange exchange, MessageWriter message) {
        if (pool.takesNew() && exchange.isWanted()) {
            message.writeTo(connection);
        } else {
            connection.lost();
            connection.close();
        }
    }
}
