package caperrudder.server.runtime;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;

/**
 * What carries the connections of a gateway: TCP, or for its warm-up the memory of the process, which nobody else can
 * reach.
 */
public enum Transport {
    /** TCP with the options of a gateway: no delay of small packets, listeners that a successor can share. */
    TCP {
        @Override
        public ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap()
                    .group(group)
                    .channelFactory(DrainableListener::new)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, accepting())
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        public Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        public SocketAddress at(InetSocketAddress address) {
            return address;
        }
    },

    /** Channels within the process; addresses are names only. */
    MEMORY {
        @Override
        public ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap().group(group).channel(LocalServerChannel.class);
        }

        @Override
        public Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }

        @Override
        public SocketAddress at(InetSocketAddress address) {
            return new LocalAddress(address.toString());
        }
    };

    private static final int BACKLOG = 512; // connections that wait to be accepted

    /** A few connections for each select, after which the descriptors of those that were closed are really free. */
    public static RecvByteBufAllocator accepting() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(DescriptorBudget.ACCEPTED_AT_ONCE);
    }

    /** For listeners whose connections run on {@code group}. */
    public abstract ServerBootstrap server(EventLoopGroup group);

    /** For connections that run on {@code loop}. */
    public abstract Bootstrap client(EventLoop loop);

    /** The form in which this transport knows {@code address}. */
    public abstract SocketAddress at(InetSocketAddress address);

    /** Closes a listener; over TCP only once all connections in its queue are accepted. On the event loop. */
    public static ChannelFuture stopAccepting(Channel listener) {
        return listener instanceof DrainableListener drainableListener
                ? drainableListener.acceptPendingAndClose()
                : listener.close();
    }

    /** Writes what the kernel can take now, before it reports room; in memory nothing waits to be written. */
    public static void flushNow(Channel channel) {
        if (channel.unsafe() instanceof NioUnsafe socket) {
            socket.forceFlush();
        }
    }

    /** Reads what stands unread in a socket before the event loop selects it; in memory nothing stands unread. */
    public static void readNow(Channel channel) {
        if (channel.unsafe() instanceof NioUnsafe socket) {
            socket.read();
        }
    }
}
