package caperrudder.server.downstream;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/** The ways in which one client connection ends. On the event loop only. */
final class ConnectionCloser {
    private static final long LINGER_MS = 300; // for the client's end, behind the last response; less than an exit's

    private final ClientConnection connection;
    private final Channel channel;
    private final InboundRequests inbound;
    private final ReplyWriter replies;
    private final ConnectionEviction eviction;

    ConnectionCloser(
            ClientConnection connection,
            Channel channel,
            InboundRequests inbound,
            ReplyWriter replies,
            ConnectionEviction eviction) {
        this.connection = connection;
        this.channel = channel;
        this.inbound = inbound;
        this.replies = replies;
        this.eviction = eviction;
    }

    /** Closes the connection once the kernel has taken what was written, which the end of the output would drop. */
    void closeGently() {
        inbound.forgetUpload();
        eviction.exempt(connection);
        replies.whenTaken(this::endOutput);
    }

    /**
     * Ends the output alone, and reads away what still comes until the client ends its side or for a short while: a
     * close over unread bytes resets the connection, and what the client has not taken yet goes with it.
     */
    private void endOutput() {
        if (channel.isActive() && channel instanceof SocketChannel socket) {
            eviction.lingers(connection);
            inbound.discardInput();
            socket.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    /** Closes the connection at once. */
    void closeNow() {
        eviction.remove(connection);
        channel.close();
    }

    /** Ends the connection inside a response, so that its client sees that the response is not whole. */
    void breakOff() {
        eviction.remove(connection);
        replies.abort();
    }
}
