package caperrudder.scale;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.util.List;

/** The heap of this process: what is reachable, and what was used at the most. */
final class HeapUsage {
    private static final int COLLECTIONS = 4; // the serial collector leaves some garbage at all but each fourth

    /** The peak counts from here on. */
    HeapUsage() {
        pools().forEach(MemoryPoolMXBean::resetPeakUsage);
    }

    private static List<MemoryPoolMXBean> pools() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(p -> p.getType() == MemoryType.HEAP)
                .toList();
    }

    /** Bytes that are reachable now; collects all garbage first. */
    long liveBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Milliseconds that garbage collections have taken since the start of the process. */
    static long collectionMs() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    /** Adds the sum of the peaks of the heap's pools: an upper bound, with what is not collected yet. */
    void addPeakTo(Measurements measurements) {
        long peak = pools().stream().mapToLong(p -> p.getPeakUsage().getUsed()).sum();
        measurements.measured("process.heap.peak", peak, "bytes");
    }
}
