package caperrudder.server.downstream;

import caperrudder.server.runtime.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Watches how the kernel takes what was written to one channel, as its client reads. The kernel reports room only once
 * a third of its send buffer is free, which a slow client may need half a minute for, so each look also tries to write.
 * On the event loop only.
 */
final class WriteProgress {
    private static final double STALLED_MS = 20_000; // in which a client takes nothing of what waits for it

    private final Channel channel;
    private long pendingBytes; // at the last look
    private long writtenOfFirst; // bytes of the first waiting buffer that were written, at the last look
    private double takenAtMs;

    /** Nothing waits at {@code nowMs}, in ms of the gateway's clock. */
    WriteProgress(Channel channel, double nowMs) {
        this.channel = channel;
        this.takenAtMs = nowMs;
    }

    /** Whether something that was written has not been taken by the kernel. */
    boolean isPending() {
        ChannelOutboundBuffer buffer = buffer();
        return buffer != null && buffer.totalPendingWriteBytes() > 0;
    }

    private ChannelOutboundBuffer buffer() {
        return channel.isActive() ? channel.unsafe().outboundBuffer() : null;
    }

    /** Runs the action once the kernel has taken all that was written, or the connection has ended. */
    void whenTaken(Runnable action) {
        if (isPending()) { // as it still is while listeners are notified, so the action runs behind them
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(f -> channel.eventLoop().execute(action));
        } else {
            action.run();
        }
    }

    /** Whether the client has taken nothing for too long of what waits for it; to be asked several times a second. */
    boolean isStalled(double nowMs) {
        if (isPending()) {
            Transport.flushNow(channel);
        }
        ChannelOutboundBuffer buffer = buffer();
        long pending = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        long written = buffer == null ? 0 : buffer.currentProgress();
        if (pending == 0 || pending < pendingBytes || written != writtenOfFirst) {
            takenAtMs = nowMs;
        }
        pendingBytes = pending;
        writtenOfFirst = written;
        return nowMs - takenAtMs > STALLED_MS;
    }
}
