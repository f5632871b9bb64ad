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

/** Bytes that one gateway of 4,200 allocates before 160,000 hosts, seen from outside the module. */
class EndpointCostsTest {
    private static final int HOSTS = 160_000;
    private static final int CHANGES = 100;
    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

    private static Host host(int number, HostState state) {
        return new Host("h" + number, "z" + number % 32, "std", number % 400, state, 1, 1000);
    }

    private long allocated() {
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    @Test
    void changesIdleSecondsAndRequestsDoNotCopyTheEndpoints() {
        PolicyHarness g = new PolicyHarness(1_000_000, PolicyHarness.settings(17, 4200, 5));
        List<Host> hosts = IntStream.range(0, HOSTS)
                .mapToObj(i -> host(i, HostState.RUNNING))
                .toList();
        long before = allocated();
        g.hostsUpdated(HostListKind.FULL, hosts);
        double perHost = (allocated() - before) / (double) HOSTS;
        assertTrue(perHost < 200, perHost + " bytes for a host of a whole list");

        Random random = new Random(1);
        before = allocated();
        for (int i = 0; i < CHANGES / 2; i++) {
            int number = random.nextInt(HOSTS);
            g.hostsUpdated(HostListKind.CHANGES, List.of(host(number, HostState.GONE)));
            g.hostsUpdated(HostListKind.CHANGES, List.of(host(number, HostState.RUNNING)));
        }
        long perChange = (allocated() - before) / CHANGES;
        assertTrue(perChange < 20_000, perChange + " bytes for a change");

        before = allocated();
        g.advance(10_000);
        long perSecond = (allocated() - before) / 10;
        assertTrue(perSecond < 400_000, perSecond + " bytes in an idle second");

        before = allocated();
        for (int i = 0; i < 100; i++) {
            g.request("r" + i, "read");
            g.endAttempt("r" + i, 0, Outcome.OK, 20);
        }
        long perRequest = (allocated() - before) / 100;
        assertTrue(perRequest < 20_000, perRequest + " bytes for a request");
    }
}
