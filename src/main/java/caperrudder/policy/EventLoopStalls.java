package caperrudder.policy;

/**
 * Measures how long this gateway's event loop was blocked, from timer ticks that fired late. Messages that arrive
 * during a stall are read only after it, so this time must not count against hosts or peers. Confined to the policy's
 * thread.
 */
final class EventLoopStalls {
    private final double tickMs;
    private double lastTickAt;
    private double totalMs;

    /**
     * Starts at {@code now}. A tick is due every {@code tickMs} milliseconds; one that is delayed by more than
     * {@code tickMs} ends a stall.
     */
    EventLoopStalls(double now, double tickMs) {
        this.lastTickAt = now;
        this.tickMs = tickMs;
    }

    /** Records a tick. Returns the duration in milliseconds of the stall before it, or 0 if there was none. */
    double recordTick(double now) {
        double delayMs = now - lastTickAt - tickMs;
        lastTickAt = now;
        if (delayMs <= tickMs) return 0;
        totalMs += delayMs;
        return delayMs;
    }

    /** Returns the total duration of all stalls since the start, in milliseconds. */
    double totalMs() {
        return totalMs;
    }
}
