package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.AttemptResult;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Outcome;
import caperrudder.api.Request;
import caperrudder.policy.gossip.RendezvousHash;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The five rules of the simulator, each on one gateway alone. */
class PolicyRulesTest {
    @Test
    void withoutHostsRequestWaitsAndIsRejectedInTime() {
        PolicyHarness g = PolicyHarness.single();
        g.request("r", "pay");
        assertEquals(0, g.finalAnswersTo("r"));
        g.advance(2999);
        assertEquals(1, g.finalAnswersTo("r"));
        assertEquals(List.of("r"), g.rejected);
    }

    @Test
    void requestWithNoTimeLeftIsAnsweredAtOnce() {
        // port-louis rules-3: a late retry was held until the next beat, after its deadline
        PolicyHarness g = PolicyHarness.single();
        g.policy.requestReceived(g.now, new Request("r", g.now + 5, g.now, false, "read", 1, "free", 1, 0, 1));
        assertEquals(1, g.finalAnswersTo("r"));
    }

    @Test
    void timeoutAtTheDeadlineIsAnswered() {
        PolicyHarness g = PolicyHarness.single().withHosts("a1");
        g.request("r", "read");
        g.request("p", "pay");
        g.advance(3000);
        g.endAttempt("r", 0, Outcome.TIMEOUT, 3000);
        g.endAttempt("p", 0, Outcome.TIMEOUT, 3000);
        assertEquals(1, g.finalAnswersTo("r"));
        assertEquals(List.of("p"), g.failed);
        assertEquals(1, g.attemptsOf("p"));
    }

    @Test
    void nothingIsSentAfterTheClientDisconnected() {
        PolicyHarness g = PolicyHarness.single();
        g.request("r", "read");
        g.policy.clientDisconnected(g.now, "r");
        g.withHosts("a1");
        g.advance(3000);
        assertEquals(0, g.attemptsOf("r"));
        assertEquals(0, g.finalAnswersTo("r"));
    }

    /** While its keeper has been asked, and while it waits for a further attempt. */
    @Test
    void nothingIsSentForADisconnectedClientWhileAnOwnerOrAHostIsAwaited() {
        for (boolean left : List.of(false, true)) {
            PolicyHarness g = new PolicyHarness(1000, PolicyHarness.settings(0, 2)).withHosts("a1");
            for (int i = 0; i < 20; i++) { // of some of these customers the other gateway keeps the books
                g.request("r" + i, "read", "small", i, 10, 2);
            }
            List<String> asked = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                if (g.attemptsOf("r" + i) == 0 && g.finalAnswersTo("r" + i) == 0) {
                    asked.add("r" + i);
                }
            }
            assertFalse(asked.isEmpty());
            if (left) {
                asked.forEach(id -> g.policy.clientDisconnected(g.now, id));
            }
            g.advance(2000); // no keeper answers: the own part decides
            assertEquals(left, asked.stream().allMatch(id -> g.attemptsOf(id) == 0 && g.finalAnswersTo(id) == 0));
            PolicyHarness h = PolicyHarness.single().withHosts("a1");
            h.request("p", "read");
            h.policy.hostsUpdated(
                    h.now, HostListKind.CHANGES, List.of(new Host("a1", "a", "std", 0, HostState.DRAINING, 1, 0)));
            h.endAttempt("p", 0, Outcome.REJECTED, 10);
            assertEquals(1, h.attemptsOf("p"));
            if (left) {
                h.policy.clientDisconnected(h.now, "p");
            }
            h.withHosts("a2").advance(2000);
            assertEquals(left ? 1 : 2, h.attemptsOf("p"));
        }
    }

    @Test
    void nonIdempotentRequestIsNeverRetriedOnceItMayHaveRun() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)) {
            PolicyHarness g = PolicyHarness.single().withHosts("a1", "b1");
            g.request("p", "pay");
            g.endAttempt("p", 0, outcome, 10);
            g.advance(500);
            assertEquals(1, g.attemptsOf("p"), outcome.name());
            assertEquals(List.of("p"), g.failed, outcome.name());
        }
    }

    @Test
    void requestThatNeverRanIsRetriedElsewhere() {
        for (Outcome outcome : List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED)) {
            PolicyHarness g = PolicyHarness.single().withHosts("a1", "b1");
            g.request("p", "pay");
            String first = g.lastHostOf("p");
            g.endAttempt("p", 0, outcome, 10);
            assertEquals(2, g.attemptsOf("p"));
            assertNotEquals(first, g.lastHostOf("p"));
        }
    }

    @Test
    void retryWithIdempotencyKeyStaysInItsScopeAndWindow() {
        PolicyHarness g = PolicyHarness.single().withHosts("a1", "a2", "b1", "b2");
        g.request("o", "order");
        String zone = g.lastHostOf("o").substring(0, 1);
        g.endAttempt("o", 0, Outcome.RESET, 10);
        assertEquals(2, g.attemptsOf("o"));
        assertEquals(zone, g.lastHostOf("o").substring(0, 1));
        g.advance(1001);
        g.endAttempt("o", 1, Outcome.RESET, 1001);
        assertEquals(2, g.attemptsOf("o"));
        assertEquals(List.of("o"), g.failed);
    }

    /** It was once sent on until nine tenths of the window, and its connection could come up after all of it. */
    @Test
    void retryWithIdempotencyKeyArrivesWithinItsWindowOnALateConnection() {
        for (boolean late : List.of(false, true)) { // by the window of 1000 ms and a connect time-out of 250
            PolicyHarness g = PolicyHarness.single().withHosts("a1", "a2");
            g.request("o", "order");
            g.advance(late ? 700 : 600);
            g.endAttempt("o", 0, Outcome.RESET, 10);
            assertEquals(late ? 1 : 2, g.attemptsOf("o"));
            assertEquals(late ? List.of("o") : List.of(), g.failed);
        }
    }

    @Test
    void drainingAndGoneHostsGetNoAttempts() {
        for (HostState state : List.of(HostState.DRAINING, HostState.GONE)) {
            PolicyHarness g = PolicyHarness.single().withHosts("a1", "b1");
            g.policy.hostsUpdated(g.now, HostListKind.CHANGES, List.of(new Host("a1", "a", "std", 0, state, 1, 0)));
            for (int i = 0; i < 6; i++) {
                g.request("r" + i, "read");
            }
            assertTrue(g.sent.stream().allMatch(s -> s.host().equals("b1")) && !g.sent.isEmpty());
        }
        PolicyHarness g = PolicyHarness.single().withHosts("a1", "b1").withHosts("b1");
        g.request("r", "read");
        assertEquals("b1", g.lastHostOf("r"));
    }

    @Test
    void hostInSlowStartGetsAShareOfWhatWarmOnesGet() {
        PolicyHarness g = PolicyHarness.single().withHosts("a1", "b1");
        for (int i = 0; i < 100; i++) {
            requestEvery20Ms(g, i);
        }
        g.policy.hostsUpdated(
                g.now, HostListKind.CHANGES, List.of(new Host("c1", "c", "std", 0, HostState.RUNNING, 1, g.now)));
        int before = g.sent.size();
        for (int i = 100; i < 150; i++) {
            requestEvery20Ms(g, i);
        }
        long cold =
                g.sent.stream().skip(before).filter(s -> s.host().equals("c1")).count();
        // 50 requests a second, half of them for each warm host: cold 0.2 x multiple 2 = 10 for all gateways
        assertTrue(cold >= 1 && cold < 10, "cold host got " + cold);
    }

    /** One request each 20 ms, answered after 160 ms, so that eight are out at a time. */
    private static void requestEvery20Ms(PolicyHarness g, int i) {
        g.request("w" + i, "read");
        g.advance(20);
        if (i >= 8) {
            g.endAttempt("w" + (i - 8), 0, Outcome.OK, 160);
        }
    }

    @Test
    void ceilingShareIsEvenAndARestartBringsNoBurst() {
        int me = RendezvousHash.rank(9, 0, 2, 2, 2)[0]; // the keeper in charge: half, and half of the rest
        double spent = 0;
        for (int life = 0; life < 4; life++) {
            PolicyHarness g = new PolicyHarness(1000 + life * 500, PolicyHarness.settings(me, 2)).withHosts("a1", "a2");
            for (int i = 0; i < 25; i++) {
                g.request("r" + life + "-" + i, "read", "capped", 9, 1, 2);
                g.advance(20);
            }
            spent += g.sent.size();
        }
        // three quarters of 20 a second over 2 s, however often it restarted
        assertTrue(spent > 10 && spent <= 30, "spent " + spent);
    }

    @Test
    void eventsForUnknownRequestsAreIgnored() {
        PolicyHarness g = PolicyHarness.single().withHosts("a1");
        g.policy.attemptEnded(g.now, new AttemptResult("x", 0, "a1", Outcome.OK, 1, true, 0, 0, new double[0]));
        g.policy.clientDisconnected(g.now, "x");
        g.policy.timerFired(g.now, "x");
        g.policy.healthCheckEnded(g.now, "x", Outcome.OK, 1, new double[0]);
        g.policy.responseStarted(g.now, "x", 0);
        g.policy.peerMessageReceived(g.now, 5, new byte[] {1});
        g.request("r", "read");
        g.endAttempt("r", 7, Outcome.OK, 1);
        g.endAttempt("r", 0, Outcome.OK, 1);
        g.endAttempt("r", 0, Outcome.OK, 1);
        assertTrue(g.failed.isEmpty() && g.rejected.isEmpty() && g.sent.size() == 1);
    }
}
