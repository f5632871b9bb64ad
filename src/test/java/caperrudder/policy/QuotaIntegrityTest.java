package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import caperrudder.api.CoordinationSettings;
import caperrudder.api.Outcome;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.api.SiteLimits;
import caperrudder.policy.gossip.QuotaEntry;
import caperrudder.policy.gossip.QuotaMessage;
import caperrudder.policy.gossip.QuotaMessageCodec;
import caperrudder.policy.gossip.ReplicaReport;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** No claim, no return and no message may fill a customer's bucket, and none may be kept for good. */
class QuotaIntegrityTest {
    /** A client once emptied the first plan's bucket, named another, and got both full again, time after time. */
    @Test
    void anotherPlanNamedForACustomerOpensNoNewQuota() {
        PolicyHarness g = PolicyHarness.single().withHosts("a1");
        int asked = 0;
        while (g.rejected.isEmpty() && asked < 1000) {
            g.request("s" + asked++, "read", "small", 1, 1, 1);
        }
        assertFalse(g.rejected.isEmpty());
        int before = g.rejected.size();
        for (int i = 0; i < 5; i++) {
            g.request("f" + i, "read", i % 2 == 0 ? "capped" : "small", 1, 1, 1);
        }
        assertEquals(before + 5, g.rejected.size());
    }

    /** An even share of a small burst is less than one request: the first of a customer was rejected at once. */
    @Test
    void firstRequestIsAdmittedHoweverManyGatewaysShareTheCustomer() {
        Settings s = PolicyHarness.settings(0, 8);
        SiteLimits silent = new SiteLimits(4, false, true, false, false, true, 500, 0);
        PolicyHarness g = new PolicyHarness(
                        1000,
                        new Settings(
                                7,
                                0,
                                8,
                                "a",
                                false,
                                s.classes(),
                                s.plans(),
                                List.of(),
                                silent,
                                s.rules(),
                                new CoordinationSettings(false, 0, 1000, false, 4, 0, 0, 0, 0)))
                .withHosts("a1");
        g.request("first", "read", "small", 1, 4, 8);
        g.request("more", "read", "small", 1, 4, 8);
        g.request("last", "read", "small", 1, 4, 8); // a request of twelve units is left, and others may have used it
        assertEquals(1, g.attemptsOf("first"));
        assertEquals(1, g.attemptsOf("more"));
        assertEquals(List.of("last"), g.rejected);
    }

    /** A client that never completes its request has used nothing of its quota, wherever a part of it went. */
    @Test
    void incompleteRequestUsesNoUnits() {
        PolicyHarness g = PolicyHarness.single().withHosts("a1");
        for (int i = 0; i < 20; i++) {
            g.policy.requestReceived(
                    g.now, new Request("p" + i, g.now + 3000, g.now, false, "order", 1, "small", 4, 0, 1, true));
            assertEquals(1, g.attemptsOf("p" + i));
            g.policy.requestNotReplayable(g.now, "p" + i);
            g.policy.clientDisconnected(g.now, "p" + i);
            g.endAttempt("p" + i, 0, Outcome.CANCELLED, 1);
        }
        assertEquals(0, g.rejected.size());
    }

    /** What never reached a host is rejected well before half of the client's time is over. */
    @Test
    void requestThatFindsNoHostIsRejectedEarly() {
        PolicyHarness g = PolicyHarness.single();
        g.request("r", "pay");
        g.advance(1400);
        assertEquals(List.of("r"), g.rejected);
        PolicyHarness h = PolicyHarness.single().withHosts("a1");
        h.request("r", "read");
        h.advance(1400);
        h.endAttempt("r", 0, Outcome.CONNECT_FAILED, 1400);
        assertEquals(List.of("r"), h.rejected);
    }

    /** A message of a future incarnation would make its sender's own messages seem late for weeks. */
    @Test
    void futureIncarnationSilencesNoPeer() {
        PolicyHarness g = new PolicyHarness(1_000_000, PolicyHarness.settings(0, 2)).withHosts("a1");
        QuotaEntry entry = new ReplicaReport(5, 0, 0, 2, 1, 0, 1, 0, OptionalDouble.empty(), true, false);
        g.policy.peerMessageReceived(
                g.now, 1, QuotaMessageCodec.encode(new QuotaMessage(1_900_000_000, 0, 1, 0, List.of(entry))));
        g.advance(1000);
        assertEquals(0, g.peerMessages.size());
        g.policy.peerMessageReceived(
                g.now, 1, QuotaMessageCodec.encode(new QuotaMessage(1_000_000, 0, 1, 0, List.of(entry))));
        g.advance(1000);
        assertEquals(1, g.peerMessages.size());
    }

    /** A gateway that forgot a customer counts its use from zero again; that gives nothing back. */
    @Test
    void restartedRunningTotalFillsNoBucket() {
        for (long customer = 1; customer < 20; customer++) {
            PolicyHarness g = new PolicyHarness(1_000_000, PolicyHarness.settings(0, 2)).withHosts("a1");
            g.advance(5000);
            reportUse(g, customer, 1, 0);
            reportUse(g, customer, 2, 1000); // all of the bucket is used elsewhere
            g.request("before", "read", "small", customer, 1, 2);
            reportUse(g, customer, 3, 0);
            g.request("after", "read", "small", customer, 1, 2);
            g.advance(100);
            assertEquals(0, g.attemptsOf("before"), "customer " + customer);
            assertEquals(0, g.attemptsOf("after"), "customer " + customer);
        }
    }

    private static void reportUse(PolicyHarness g, long customer, int serial, double used) {
        QuotaEntry entry = new ReplicaReport(customer, 0, 0, 2, used, 0, 1, 0, OptionalDouble.empty(), false, false);
        g.policy.peerMessageReceived(
                g.now, 1, QuotaMessageCodec.encode(new QuotaMessage(1_000_000, 0, serial, 0, List.of(entry))));
    }
}
