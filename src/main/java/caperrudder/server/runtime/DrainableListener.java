package caperrudder.server.runtime;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A listener that takes whoever waits in its queue before it closes, since closing would reset them. */
final class DrainableListener extends NioServerSocketChannel {
    private static final Log LOG = Log.of("listener");

    /** On the event loop. While its key stands in a selector the JDK would close the socket only at the next select. */
    ChannelFuture emptyAndClose() {
        if (isOpen()) {
            deregister();
            emptyOnceFree();
        }
        return closeFuture();
    }

    private void emptyOnceFree() {
        if (isOpen() && javaChannel().isRegistered()) {
            eventLoop().execute(this::emptyOnceFree);
            return;
        }
        try {
            for (SocketChannel s = javaChannel().accept();
                    s != null;
                    s = javaChannel().accept()) {
                pipeline().fireChannelRead(new NioSocketChannel(this, s));
            }
        } catch (IOException e) {
            LOG.warn("pending connections not accepted", "cause", e.getMessage());
        }
        close();
    }
}
