package caperrudder.scale;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;

/** The heap of this process: what is held after a collection, and what was used at the most. */
final class HeapUsage {
    private static final int COLLECTIONS = 4; // the serial collector leaves some garbage at all but each fourth

    /** The peak counts from here on. */
    HeapUsage() {
        pools().forEach(MemoryPoolMXBean::resetPeakUsage);
    }

    private static java.util.List<MemoryPoolMXBean> pools() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(p -> p.getType() == MemoryType.HEAP)
                .toList();
    }

    /** Bytes that are reachable now; collects what is not. */
    long held() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Milliseconds that collections of garbage have taken since the start of the process. */
    static long collectionMs() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    /** The peaks of the heap's parts together: an upper bound, and what is not collected yet is in it. */
    void tellPeak(Measurements figures) {
        long peak = pools().stream().mapToLong(p -> p.getPeakUsage().getUsed()).sum();
        figures.measured("process.heap.peak", peak, "bytes");
    }
}
