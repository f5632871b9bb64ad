package caperrudder.server;

import caperrudder.server.config.GossipConfig;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Messages between gateways as datagrams, which may come late, damaged, from strangers or not at all (page DEPLOY). On
 * the event loop only, but for the constructor.
 */
final class PeerTransport extends SimpleChannelInboundHandler<DatagramPacket> implements PeerSender {
    private static final Log LOG = Log.of("gossip");
    private static final int MESSAGE_MAX_BYTES = 256;
    private static final int EVERYONE = -1; // in place of a gateway's index

    /** Receives the messages of other gateways. */
    @FunctionalInterface
    interface Listener {
        /** {@code peer}: the index of the sender. */
        void messageReceived(int peer, byte[] message);
    }

    private final EventLoop loop;
    private final GossipConfig config;
    private final Listener listener;
    private final Map<InetSocketAddress, Integer> indexes = new HashMap<>();
    private boolean heard;
    private Channel channel; // null before the start, and where there is no address to listen at

    PeerTransport(EventLoop loop, GossipConfig config, Listener listener) {
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        List<InetSocketAddress> peers = config.peers();
        for (int i = 0; i < peers.size(); i++) {
            indexes.put(peers.get(i), i);
        }
    }

    /** Listens from now on, where there is an address for it and it does not listen yet. */
    void start() {
        if (channel != null || config.listen().isEmpty()) {
            return;
        }
        // One byte more than a message may have shows which ones are too long.
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(this)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MESSAGE_MAX_BYTES + 1))
                .bind(config.listen().get())
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        LOG.warn("no messages from peers", "cause", f.cause().getMessage());
                    }
                })
                .channel();
    }

    /** Whether another gateway has sent anything since the start; a fleet that has no clients yet sends nothing. */
    boolean hasHeardPeers() {
        return heard;
    }

    @Override
    public void send(int peer, byte[] message) {
        InetSocketAddress address = addressOf(peer);
        if (channel == null || address == null || message.length > MESSAGE_MAX_BYTES) {
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), address), channel.voidPromise());
    }

    /** Null where there is none. */
    private InetSocketAddress addressOf(int peer) {
        if (peer == EVERYONE) {
            return config.broadcast().orElse(null);
        }
        return peer >= 0 && peer < config.peers().size() ? config.peers().get(peer) : null;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer peer = indexes.get(packet.sender());
        int length = packet.content().readableBytes();
        if (peer != null && length > 0 && length <= MESSAGE_MAX_BYTES) {
            heard = true;
            listener.messageReceived(peer, ByteBufUtil.getBytes(packet.content()));
        }
    }

    /** A lost message is normal, and so is an error that an earlier one brought back. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrorHandler.check(cause);
    }
}
