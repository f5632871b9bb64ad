package caperrudder.server.downstream;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Ends the output of a connection alone, and reads away what still comes until the client ends its side or for a short
 * while: a close over unread bytes resets the connection, and what the client has not taken yet goes with it.
 */
final class LingeringClose {
    private static final long LINGER_MS = 300; // for the client's end, behind the last response; less than an exit's

    private LingeringClose() {}

    /** Whether the connection is open and its output can be ended by itself. */
    static boolean isPossible(Channel channel) {
        return channel.isActive() && channel instanceof SocketChannel;
    }

    /** Begins to close a connection for which that {@link #isPossible}. */
    static void begin(Channel channel, InboundRequests inbound) {
        inbound.discardInput();
        ((SocketChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }
}
