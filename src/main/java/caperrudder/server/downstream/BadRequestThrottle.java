package caperrudder.server.downstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** A client that goes on asking what can't be served gets its responses, but not all of the processor. */
final class BadRequestThrottle {
    private static final int BAD_REQUESTS_MAX = 2; // from so many on, its connection is read only now and then
    private static final long PAUSE_MS = 200; // it is not read for so long after each

    private final EventLoop loop;
    private final Runnable onChange;
    private int badRequests;
    private boolean paused;

    /** {@code onChange} is run whenever {@link #isPaused} has changed. */
    BadRequestThrottle(EventLoop loop, Runnable onChange) {
        this.loop = loop;
        this.onChange = onChange;
    }

    boolean isPaused() {
        return paused;
    }

    void badRequest() {
        badRequests++;
        if (badRequests >= BAD_REQUESTS_MAX && !paused) {
            set(true);
            loop.schedule(() -> set(false), PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void set(boolean pause) {
        paused = pause;
        onChange.run();
    }
}
