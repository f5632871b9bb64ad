package caperrudder.server.runtime;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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

/** What carries a node's connections: TCP, or for its warm-up the process's own memory, which nobody else can reach. */
public enum Transport {
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
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.RCVBUF_ALLOCATOR, readBuffers());
        }

        @Override
        public Bootstrap client(EventLoop loop) {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, readBuffers());
        }

        @Override
        public SocketAddress at(InetSocketAddress address) {
            return address;
        }
    },

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

    private static final int BACKLOG = 512;
    private static final int READ_MIN = 512;
    private static final int READ_FIRST = 2048;
    private static final int READ_MAX = 16 * 1024; // bytes a read: what streams holds little more than its window

    static RecvByteBufAllocator readBuffers() {
        return new AdaptiveRecvByteBufAllocator(READ_MIN, READ_FIRST, READ_MAX);
    }

    /** A few connections for each look at the sockets, after which those that were closed are really gone. */
    public static RecvByteBufAllocator accepting() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(DescriptorBudget.ACCEPTED_AT_ONCE);
    }

    public abstract ServerBootstrap server(EventLoopGroup group);

    public abstract Bootstrap client(EventLoop loop);

    public abstract SocketAddress at(InetSocketAddress address);

    /** Closes a listener; over TCP only once all that wait in its queue are taken. */
    public static ChannelFuture stopAccepting(Channel listener) {
        return listener instanceof DrainableListener drainableListener
                ? drainableListener.emptyAndClose()
                : listener.close();
    }

    /** Reads what stands unread in a socket before the loop comes to it; in memory nothing stands unread. */
    public static void readNow(Channel channel) {
        if (channel.unsafe() instanceof NioUnsafe) {
            ((NioUnsafe) channel.unsafe()).read();
        }
    }
}
