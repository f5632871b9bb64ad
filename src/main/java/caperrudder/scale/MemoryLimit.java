package caperrudder.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.Locale;

/** Keeps a run under half of the machine's memory: what a heap may grow to, and what the sizes will need of it. */
final class MemoryLimit {
    private static final double MB = 1 << 20;

    private MemoryLimit() {}

    static long physicalBytes() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getTotalMemorySize();
    }

    /** Throws IllegalArgumentException, with one line that tells what to change, where the sizes are too large. */
    static void check(double estimatedBytes, long heapMaxBytes, long physicalBytes) {
        double half = physicalBytes / 2.0;
        if (heapMaxBytes > half) {
            throw new IllegalArgumentException(String.format(
                    Locale.ROOT,
                    "the heap may grow to %.0f MB, over half of"
                            + " the machine's %.0f MB: start java with -Xmx%.0fm at most",
                    heapMaxBytes / MB,
                    physicalBytes / MB,
                    Math.floor(half / MB)));
        }
        if (estimatedBytes > half) {
            throw new IllegalArgumentException(String.format(
                    Locale.ROOT,
                    "these sizes need some %.0f MB, over half of"
                            + " the machine's %.0f MB: fewer gateways, hosts or tenants, please",
                    estimatedBytes / MB,
                    physicalBytes / MB));
        }
        if (estimatedBytes > heapMaxBytes) {
            throw new IllegalArgumentException(String.format(
                    Locale.ROOT,
                    "these sizes need some %.0f MB, and the heap" + " may grow to %.0f MB: start java with -Xmx%.0fm",
                    estimatedBytes / MB,
                    heapMaxBytes / MB,
                    Math.ceil(estimatedBytes / MB)));
        }
    }
}
