package caperrudder.server;

import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.server.config.GatewayConfig;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The made-up clients before the first real one. */
class StartupWarmUpTest extends GatewaySocketTest {
    private static final int FEW = 200;

    private static GatewayConfig config() throws Exception {
        return TestGateways.configured(TestGateways.config("127.0.0.1:1", "127.0.0.1:0"));
    }

    private static Set<String> loops() {
        return Thread.getAllStackTraces().keySet().stream()
                .map(Thread::getName)
                .filter(n -> n.startsWith("nioEventLoopGroup"))
                .collect(Collectors.toSet());
    }

    /** Every request is answered, whatever goes wrong among its hosts, and nothing of it runs on. */
    @Test
    void everyRequestIsAnsweredAndNoEventLoopRunsOn() throws Exception {
        Set<String> before = loops();
        assertEquals(FEW, StartupWarmUp.run(config(), FEW, GatewaySocketTest.TIMEOUT_MS, () -> false));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (!before.containsAll(loops())) {
            assertTrue(System.nanoTime() < end, "runs on");
            Thread.sleep(5);
        }
    }

    /** What it did to quotas, hosts and bounds was done to other modules: the first real customer finds all new. */
    @Test
    void policyOfTheRealGatewayIsUntouched() throws Exception {
        StartupWarmUp.run(config(), FEW, GatewaySocketTest.TIMEOUT_MS, () -> false);
        ScriptedServer host = host(GatewaySocketTest::echo);
        TestClient client = client(gatewayFor(host));
        HttpMessage answer = client.send(view("r1", GatewaySocketTest.TIMEOUT_MS)
                        .replace("X-Plan: free", "X-Plan: tiny")
                        .replace("00000000b4d65521", "0000000000000001"))
                .receive();
        assertEquals(200, answer.status());
        assertEquals(1, host.requests().size());
    }
}
