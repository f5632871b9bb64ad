package caperrudder.server.runtime;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The event loop of one gateway and what everything on it shares: all connections, timers and decisions run on this
 * one thread, so nothing that is reached from here is locked.
 */
public record EventLoopContext(
        Clock clock,
        Transport transport,
        NioEventLoopGroup group,
        EventLoop loop,
        EventLoopLag lag,
        BufferBudget budget,
        ProtectionCounters protections) {
    private static final double MICROS_PER_MS = 1000;

    /** Runs the task on the event loop after so many milliseconds, or at its next turn where there are none left. */
    public ScheduledFuture<?> schedule(Runnable task, double delayMs) {
        return loop.schedule(task, (long) (Math.max(0, delayMs) * MICROS_PER_MS), TimeUnit.MICROSECONDS);
    }
}
