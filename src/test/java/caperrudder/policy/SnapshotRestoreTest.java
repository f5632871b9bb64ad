package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.ClusterHealth;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.Outcome;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.QuotaSnapshot;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the next process of a gateway restores from the snapshot of the last one. */
class SnapshotRestoreTest {
    private static final int BURST = (int) PolicyHarness.SMALL.burstUnits();

    private static int serve(PolicyHarness g, String name, int count) {
        for (int i = 0; i < count; i++) {
            g.request(name + i, "read", "small", 1, 1, 1);
            if (g.attemptsOf(name + i) > 0) g.endAttempt(name + i, 0, Outcome.OK, 10);
        }
        return (int) g.sent.stream().filter(s -> s.id().startsWith(name)).count();
    }

    private static PolicyHarness successorOf(PolicyHarness last) {
        PolicyHarness g = new PolicyHarness(last.now, PolicyHarness.settings(0, 1)).withHosts("a1", "b1");
        g.policy.restoreSnapshot(g.now, last.policy.takeSnapshot(last.now));
        return g;
    }

    /** Else every upgrade would fill each customer's bucket again. */
    @Test
    void exhaustedBucketStaysExhausted() {
        PolicyHarness old = PolicyHarness.single().withHosts("a1", "b1");
        assertEquals(BURST, serve(old, "o", BURST + 3));
        PolicyHarness g = successorOf(old);
        assertEquals(0, serve(g, "n", 3));
        g.advance(1000);
        assertEquals((int) PolicyHarness.SMALL.unitsPerSecond(), serve(g, "m", BURST));
    }

    /** The old process goes on for a while; what it admits is reported as a running total and charged once. */
    @Test
    void useByTheOtherProcessIsChargedOnce() {
        PolicyHarness old = PolicyHarness.single().withHosts("a1", "b1");
        assertEquals(2, serve(old, "o", 2));
        PolicyHarness g = successorOf(old);
        assertEquals(3, serve(g, "n", 3));
        assertEquals(4, serve(old, "p", 4));
        for (int i = 0; i < 3; i++) g.policy.restoreSnapshot(g.now, old.policy.takeSnapshot(old.now));
        assertEquals(BURST - 2 - 3 - 4, serve(g, "m", BURST));
    }

    /** Customers that this process met before the snapshot arrived keep what they used here, too. */
    @Test
    void lateSnapshotAddsToWhatWasUsedHere() {
        PolicyHarness old = PolicyHarness.single().withHosts("a1", "b1");
        assertEquals(5, serve(old, "o", 5));
        PolicyHarness g = PolicyHarness.single().withHosts("a1", "b1");
        assertEquals(4, serve(g, "n", 4));
        g.policy.restoreSnapshot(g.now, old.policy.takeSnapshot(old.now));
        assertEquals(BURST - 9, serve(g, "m", BURST));
    }

    @Test
    void failedHostIsAvoidedFromTheStart() {
        PolicyHarness old = PolicyHarness.single().withHosts("a1", "b1");
        assertEquals(new ClusterHealth(2, 0), old.policy.clusterHealth(old.now));
        for (int i = 0; i < 40; i++) {
            old.request("o" + i, "read");
            boolean dead = old.lastHostOf("o" + i).equals("a1");
            old.endAttempt("o" + i, 0, dead ? Outcome.CONNECT_FAILED : Outcome.OK, 10);
        }
        assertEquals(new ClusterHealth(2, 1), old.policy.clusterHealth(old.now));
        assertEquals(new ClusterHealth(2, 1), successorOf(old).policy.clusterHealth(old.now));
    }

    /** Weights are shares of one whole: those of other classes cannot be mixed with own ones. */
    @Test
    void snapshotOfOtherClassesAndPlansChangesNothing() {
        PolicyHarness g = PolicyHarness.single().withHosts("a1", "b1");
        g.policy.restoreSnapshot(
                g.now,
                new PolicySnapshot(
                        g.now,
                        6,
                        List.of(new QuotaSnapshot(1, "gone", 0, 1, 0, 0, 0, 0, 9, 0, 1, g.now, 0)),
                        List.of(
                                new HealthSnapshot("none", "", 12, g.now, 3),
                                new HealthSnapshot("a1", "none", 12, g.now, 3)),
                        List.of(new ClassSnapshot("none", 1, 1, 1, 1, 1, 1))));
        assertEquals(new ClusterHealth(2, 0), g.policy.clusterHealth(g.now));
        assertEquals(BURST, serve(g, "n", BURST));
    }
}
