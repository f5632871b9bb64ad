package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import caperrudder.api.Limits;
import caperrudder.api.Outcome;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.api.Sharing;
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
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        int asked = 0;
        while (g.refused.isEmpty() && asked < 1000) {
            g.ask("s" + asked++, "read", "small", 1, 1, 1);
        }
        assertFalse(g.refused.isEmpty());
        int before = g.refused.size();
        for (int i = 0; i < 5; i++) {
            g.ask("f" + i, "read", i % 2 == 0 ? "capped" : "small", 1, 1, 1);
        }
        assertEquals(before + 5, g.refused.size());
    }

    /** An even share of a small burst is less than one request: the first of a customer was rejected at once. */
    @Test
    void firstRequestIsAdmittedHoweverManyGatewaysShareTheCustomer() {
        Settings s = FakeGateway.settings(0, 8);
        Limits silent = new Limits(4, false, true, false, false, true, 500, 0);
        FakeGateway g = new FakeGateway(
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
                                new Sharing(false, 0, 1000, false, 4, 0, 0, 0, 0)))
                .withHosts("a1");
        g.ask("first", "read", "small", 1, 4, 8);
        g.ask("more", "read", "small", 1, 4, 8);
        g.ask("last", "read", "small", 1, 4, 8); // a request of twelve units is left, and others may have used it
        assertEquals(1, g.sends("first"));
        assertEquals(1, g.sends("more"));
        assertEquals(List.of("last"), g.refused);
    }

    /** A client that never completes its request has used nothing of its quota, wherever a part of it went. */
    @Test
    void incompleteRequestUsesNoUnits() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        for (int i = 0; i < 20; i++) {
            g.brain.requestReceived(
                    g.now, new Request("p" + i, g.now + 3000, g.now, false, "order", 1, "small", 4, 0, 1, true));
            assertEquals(1, g.sends("p" + i));
            g.brain.requestNotReplayable(g.now, "p" + i);
            g.brain.clientDisconnected(g.now, "p" + i);
            g.end("p" + i, 0, Outcome.CANCELLED, 1);
        }
        assertEquals(0, g.refused.size());
    }

    /** What never reached a host is rejected well before half of the client's time is over. */
    @Test
    void requestThatFindsNoHostIsRejectedEarly() {
        FakeGateway g = FakeGateway.alone();
        g.ask("r", "pay");
        g.pass(1400);
        assertEquals(List.of("r"), g.refused);
        FakeGateway h = FakeGateway.alone().withHosts("a1");
        h.ask("r", "read");
        h.pass(1400);
        h.end("r", 0, Outcome.CONNECT_FAILED, 1400);
        assertEquals(List.of("r"), h.refused);
    }

    /** A message of a future incarnation would make its sender's own messages seem late for weeks. */
    @Test
    void futureIncarnationSilencesNoPeer() {
        FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(0, 2)).withHosts("a1");
        QuotaEntry entry = new ReplicaReport(5, 0, 0, 2, 1, 0, 1, 0, OptionalDouble.empty(), true, false);
        g.brain.peerMessageReceived(
                g.now, 1, QuotaMessageCodec.encode(new QuotaMessage(1_900_000_000, 0, 1, 0, List.of(entry))));
        g.pass(1000);
        assertEquals(0, g.told.size());
        g.brain.peerMessageReceived(
                g.now, 1, QuotaMessageCodec.encode(new QuotaMessage(1_000_000, 0, 1, 0, List.of(entry))));
        g.pass(1000);
        assertEquals(1, g.told.size());
    }

    /** A gateway that forgot a customer counts its use from zero again; that gives nothing back. */
    @Test
    void restartedRunningTotalFillsNoBucket() {
        for (long customer = 1; customer < 20; customer++) {
            FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(0, 2)).withHosts("a1");
            g.pass(5000);
            reportUse(g, customer, 1, 0);
            reportUse(g, customer, 2, 1000); // all of the bucket is used elsewhere
            g.ask("before", "read", "small", customer, 1, 2);
            reportUse(g, customer, 3, 0);
            g.ask("after", "read", "small", customer, 1, 2);
            g.pass(100);
            assertEquals(0, g.sends("before"), "customer " + customer);
            assertEquals(0, g.sends("after"), "customer " + customer);
        }
    }

    private static void reportUse(FakeGateway g, long customer, int serial, double used) {
        QuotaEntry entry = new ReplicaReport(customer, 0, 0, 2, used, 0, 1, 0, OptionalDouble.empty(), false, false);
        g.brain.peerMessageReceived(
                g.now, 1, QuotaMessageCodec.encode(new QuotaMessage(1_000_000, 0, serial, 0, List.of(entry))));
    }
}
