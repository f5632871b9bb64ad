package caperrudder.server.runtime;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How late the event loop runs what is due, measured by a periodic task against its due time. What is read from a
 * socket now may have stood there for as long, so the time of a request is counted from before the loop was busy and
 * not from its reading. On the event loop only.
 */
public final class EventLoopLag {
    private static final long PERIOD_MS = 20;
    /** A smaller lag is the granularity of the timers themselves and counts as none. */
    private static final double TIMER_GRANULARITY_MS = 10;

    private final Clock clock;
    private final EventLoop loop;
    private double dueMs;
    private double lastLagMs;

    public EventLoopLag(Clock clock, EventLoop loop) {
        this.clock = clock;
        this.loop = loop;
    }

    /** Begins to measure. */
    public void start() {
        dueMs = clock.now() + PERIOD_MS;
        loop.schedule(
                () -> {
                    lastLagMs = clock.now() - dueMs;
                    start();
                },
                PERIOD_MS,
                TimeUnit.MILLISECONDS);
    }

    /** The lag in ms of the last measurement, or of the one that is due where that is overdue by more; else 0. */
    public double ms() {
        double lag = Math.max(lastLagMs, clock.now() - dueMs);
        return dueMs > 0 && lag > TIMER_GRANULARITY_MS ? lag : 0;
    }
}
