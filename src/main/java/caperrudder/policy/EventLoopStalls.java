package caperrudder.policy;

/**
 * How long this gateway's event loop has stood still, by timer ticks that came late. What arrived during a stall is
 * read only after it, so no host or peer is blamed for that time. Confined to the policy's thread.
 */
final class EventLoopStalls {
    private final double tickMs;
    private double tickedAt;
    private double totalMs;

    /** From {@code now} on a tick is due every {@code tickMs} milliseconds; one later than that again is a stall. */
    EventLoopStalls(double now, double tickMs) {
        this.tickedAt = now;
        this.tickMs = tickMs;
    }

    /** Notes a tick; returns how long the loop stood still before it, or 0 where it came in time. */
    double noteTick(double now) {
        double late = now - tickedAt - tickMs;
        tickedAt = now;
        if (late <= tickMs) return 0;
        totalMs += late;
        return late;
    }

    /** Time of all stalls since the start, in milliseconds. */
    double totalMs() {
        return totalMs;
    }
}
