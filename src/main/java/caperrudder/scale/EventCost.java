package caperrudder.scale;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import org.HdrHistogram.Histogram;

/** What events of one kind cost the thread that runs them: processor time, allocated bytes, and the longest of all. */
final class EventCost {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int DIGITS = 3;

    private final Histogram cpuNanos = new Histogram(DIGITS);
    private long totalNanos;
    private long bytes;
    private long longestWallNanos;

    /** Processor time that this thread has used, in nanoseconds. */
    static long threadNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Bytes that this thread has allocated since its start. */
    static long threadBytes() {
        return THREADS.getCurrentThreadAllocatedBytes();
    }

    void add(long nanos, long allocated, long wallNanos) {
        cpuNanos.recordValue(Math.max(0, nanos));
        totalNanos += nanos;
        bytes += allocated;
        longestWallNanos = Math.max(longestWallNanos, wallNanos);
    }

    long count() {
        return cpuNanos.getTotalCount();
    }

    long totalNanos() {
        return totalNanos;
    }

    long bytes() {
        return bytes;
    }

    double meanBytes() {
        return count() == 0 ? 0 : (double) bytes / count();
    }

    double meanNanos() {
        return count() == 0 ? 0 : (double) totalNanos / count();
    }

    /** Within the histogram's three digits; 0 where there was no event. */
    long nanosAt(double percentile) {
        return cpuNanos.getValueAtPercentile(percentile);
    }

    /** The longest event by processor time. */
    long longestNanos() {
        return cpuNanos.getMaxValue();
    }

    /** The longest event by the wall clock: collections of garbage and waits for a core are in it. */
    long longestWallNanos() {
        return longestWallNanos;
    }
}
