package caperrudder.server.runtime;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A listener that accepts all connections in its queue before it closes, since closing would reset them. */
final class DrainableListener extends NioServerSocketChannel {
    private static final Log LOG = Log.of("listener");

    /**
     * Accepts what waits, then closes; the future is done once the listener is closed. On the event loop. The selection
     * key is given up first: while it stands in a selector the JDK would close the socket only at the next select.
     */
    ChannelFuture acceptPendingAndClose() {
        if (isOpen()) {
            deregister();
            acceptPendingOnceDeregistered();
        }
        return closeFuture();
    }

    private void acceptPendingOnceDeregistered() {
        if (isOpen() && javaChannel().isRegistered()) {
            eventLoop().execute(this::acceptPendingOnceDeregistered);
            return;
        }
        try {
            acceptPending();
        } catch (IOException e) {
            LOG.warn("pending connections not accepted", "cause", e.getMessage());
        }
        close();
    }

    private void acceptPending() throws IOException {
        SocketChannel accepted = javaChannel().accept();
        while (accepted != null) {
            pipeline().fireChannelRead(new NioSocketChannel(this, accepted));
            accepted = javaChannel().accept();
        }
    }
}
