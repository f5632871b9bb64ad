package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Outcome;
import caperrudder.policy.PolicyHarness;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against memory allocation that grows with the number of hosts, in a fleet of 4,200 gateways. */
class EndpointAllocationTest {
    private static final int HOSTS = 160_000;
    private static final int CHANGES = 100;
    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

    private static Host host(int number, HostState state) {
        return new Host("h" + number, "z" + number % 32, "std", number % 400, state, 1, 1000);
    }

    private long allocatedBytes() {
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    @Test
    void changesIdleSecondsAndRequestsDoNotAllocateForEachEndpoint() {
        PolicyHarness gateway = new PolicyHarness(1_000_000, PolicyHarness.settings(17, 4200, 5));
        List<Host> hosts = IntStream.range(0, HOSTS)
                .mapToObj(i -> host(i, HostState.RUNNING))
                .toList();
        long bytesBefore = allocatedBytes();
        gateway.hostsUpdated(HostListKind.FULL, hosts);
        double bytesPerHost = (allocatedBytes() - bytesBefore) / (double) HOSTS;
        assertTrue(bytesPerHost < 200, bytesPerHost + " bytes allocated per host of a full list, expected < 200");

        Random random = new Random(1);
        bytesBefore = allocatedBytes();
        for (int i = 0; i < CHANGES / 2; i++) {
            int number = random.nextInt(HOSTS);
            gateway.hostsUpdated(HostListKind.CHANGES, List.of(host(number, HostState.GONE)));
            gateway.hostsUpdated(HostListKind.CHANGES, List.of(host(number, HostState.RUNNING)));
        }
        long bytesPerChange = (allocatedBytes() - bytesBefore) / CHANGES;
        assertTrue(bytesPerChange < 20_000, bytesPerChange + " bytes allocated per change, expected < 20000");

        bytesBefore = allocatedBytes();
        gateway.advance(10_000);
        long bytesPerSecond = (allocatedBytes() - bytesBefore) / 10;
        assertTrue(bytesPerSecond < 400_000, bytesPerSecond + " bytes allocated per idle second, expected < 400000");

        bytesBefore = allocatedBytes();
        for (int i = 0; i < 100; i++) {
            gateway.request("r" + i, "read");
            gateway.endAttempt("r" + i, 0, Outcome.OK, 20);
        }
        long bytesPerRequest = (allocatedBytes() - bytesBefore) / 100;
        assertTrue(bytesPerRequest < 20_000, bytesPerRequest + " bytes allocated per request, expected < 20000");
    }
}
