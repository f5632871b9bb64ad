package caperrudder.server.downstream;

import caperrudder.api.Settings;
import caperrudder.server.http.HeadMemory;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Accepts clients, and ends their connections in a drain. On the event loop only. */
public final class DownstreamServer {
    private static final long SWEEP_MS = 100; // how often connections are looked at that may have to end

    private final EventLoopContext eventLoop;
    private final InetSocketAddress address;
    private final ConnectionEviction eviction;
    private final ConnectionContext context;
    private Channel listener;

    /**
     * Listens to nobody before {@link #start}.
     *
     * @param maxConnections how many clients may be connected now
     * @param headMemory what the heads of their requests may hold
     */
    public DownstreamServer(
            EventLoopContext eventLoop,
            InetSocketAddress address,
            Settings settings,
            IntSupplier maxConnections,
            HeadMemory headMemory,
            RequestHandler handler,
            DrainStatus drain) {
        this.eventLoop = eventLoop;
        this.address = address;
        this.eviction = new ConnectionEviction(eventLoop.clock(), maxConnections, eventLoop.protections());
        RequestRouter router = new RequestRouter(
                eventLoop,
                new RequestParser(settings),
                handler,
                drain,
                settings.limits().maxRetryAfterMs());
        this.context = new ConnectionContext(eventLoop, router, drain, eviction, headMemory);
    }

    /** Clients are served once the returned future is done. */
    public ChannelFuture start() {
        Transport transport = eventLoop.transport();
        ChannelFuture bound = transport
                .server(eventLoop.group())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new ClientConnection(channel, context).addTo(channel.pipeline());
                    }
                })
                .bind(transport.at(address));
        listener = bound.channel();
        scheduleSweep();
        return bound;
    }

    private void scheduleSweep() {
        eventLoop.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        scheduleSweep();
        eviction.sweep();
    }

    /** Whether {@link #start} was called. */
    public boolean isStarted() {
        return listener != null;
    }

    /** The port of the listener, where the configuration left it to the system. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Closes the listener, after whoever waits at it has been taken. */
    public ChannelFuture stopAccepting() {
        return Transport.stopAccepting(listener);
    }

    /** Ends every connection on which nothing is asked, once it has taken its last response. */
    public void closeIdle() {
        eviction.closeIdle();
    }

    /** Ends every connection on which no whole request is open: what is unfinished will not be served any more. */
    public void closeUnfinished() {
        eviction.closeUnfinished();
    }

    /** Whether no client is connected. */
    public boolean isIdle() {
        return eviction.isEmpty();
    }
}
