package caperrudder.server.runtime;

/**
 * The clock of the process: Unix time in milliseconds that never runs backwards, so that it can be compared with the
 * start times that hosts report. Later changes of the system's time are not followed. Safe for any thread.
 */
public final class Clock {
    private static final double NANOS_PER_MS = 1e6;

    private final long anchorNanos = System.nanoTime();
    private final double anchorMs = System.currentTimeMillis();

    /** Milliseconds since 1970, with fractions. */
    public double now() {
        return anchorMs + (System.nanoTime() - anchorNanos) / NANOS_PER_MS;
    }
}
