package caperrudder.scale;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;

/** Reports how far a run is, not more often than every five seconds: a short run reports nothing. Not thread-safe. */
final class Progress {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final PrintStream out;
    private String run = "";
    private long reportedAt = System.nanoTime();

    Progress(PrintStream out) {
        this.out = out;
    }

    /** Names the run that the next reports are of. */
    void beginRun(String name) {
        run = name;
    }

    /** Reports a step of the run, where the last report is old enough. */
    void at(String step, long done, long all) {
        if (System.nanoTime() - reportedAt >= INTERVAL_NANOS) {
            reportedAt = System.nanoTime();
            report(step + ", " + done + " of " + all);
        }
    }

    /** Reports something at once. */
    void report(String line) {
        out.println("scale: " + run + ", " + line);
    }
}
