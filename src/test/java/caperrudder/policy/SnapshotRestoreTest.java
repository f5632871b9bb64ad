package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.ClusterHealth;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.Outcome;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Snapshot;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the next process of a gateway restores from the snapshot of the last one. */
class SnapshotRestoreTest {
    private static final int BURST = (int) FakeGateway.SMALL.burstUnits();

    private static int serve(FakeGateway g, String name, int count) {
        for (int i = 0; i < count; i++) {
            g.ask(name + i, "read", "small", 1, 1, 1);
            if (g.sends(name + i) > 0) g.end(name + i, 0, Outcome.OK, 10);
        }
        return (int) g.sent.stream().filter(s -> s.id().startsWith(name)).count();
    }

    private static FakeGateway successorOf(FakeGateway last) {
        FakeGateway g = new FakeGateway(last.now, FakeGateway.settings(0, 1)).withHosts("a1", "b1");
        g.brain.restoreSnapshot(g.now, last.brain.takeSnapshot(last.now));
        return g;
    }

    /** Else every upgrade would fill each customer's bucket again. */
    @Test
    void exhaustedBucketStaysExhausted() {
        FakeGateway old = FakeGateway.alone().withHosts("a1", "b1");
        assertEquals(BURST, serve(old, "o", BURST + 3));
        FakeGateway g = successorOf(old);
        assertEquals(0, serve(g, "n", 3));
        g.pass(1000);
        assertEquals((int) FakeGateway.SMALL.unitsPerSecond(), serve(g, "m", BURST));
    }

    /** The old process goes on for a while; what it admits is reported as a running total and charged once. */
    @Test
    void useByTheOtherProcessIsChargedOnce() {
        FakeGateway old = FakeGateway.alone().withHosts("a1", "b1");
        assertEquals(2, serve(old, "o", 2));
        FakeGateway g = successorOf(old);
        assertEquals(3, serve(g, "n", 3));
        assertEquals(4, serve(old, "p", 4));
        for (int i = 0; i < 3; i++) g.brain.restoreSnapshot(g.now, old.brain.takeSnapshot(old.now));
        assertEquals(BURST - 2 - 3 - 4, serve(g, "m", BURST));
    }

    /** Customers that this process met before the snapshot arrived keep what they used here, too. */
    @Test
    void lateSnapshotAddsToWhatWasUsedHere() {
        FakeGateway old = FakeGateway.alone().withHosts("a1", "b1");
        assertEquals(5, serve(old, "o", 5));
        FakeGateway g = FakeGateway.alone().withHosts("a1", "b1");
        assertEquals(4, serve(g, "n", 4));
        g.brain.restoreSnapshot(g.now, old.brain.takeSnapshot(old.now));
        assertEquals(BURST - 9, serve(g, "m", BURST));
    }

    @Test
    void failedHostIsAvoidedFromTheStart() {
        FakeGateway old = FakeGateway.alone().withHosts("a1", "b1");
        assertEquals(new ClusterHealth(2, 0), old.brain.clusterHealth(old.now));
        for (int i = 0; i < 40; i++) {
            old.ask("o" + i, "read");
            boolean dead = old.hostOf("o" + i).equals("a1");
            old.end("o" + i, 0, dead ? Outcome.CONNECT_FAILED : Outcome.OK, 10);
        }
        assertEquals(new ClusterHealth(2, 1), old.brain.clusterHealth(old.now));
        assertEquals(new ClusterHealth(2, 1), successorOf(old).brain.clusterHealth(old.now));
    }

    /** Weights are shares of one whole: those of other classes cannot be mixed with own ones. */
    @Test
    void snapshotOfOtherClassesAndPlansChangesNothing() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "b1");
        g.brain.restoreSnapshot(
                g.now,
                new Snapshot(
                        g.now,
                        6,
                        List.of(new QuotaSnapshot(1, "gone", 0, 1, 0, 0, 0, 0, 9, 0, 1, g.now, 0)),
                        List.of(
                                new HealthSnapshot("none", "", 12, g.now, 3),
                                new HealthSnapshot("a1", "none", 12, g.now, 3)),
                        List.of(new ClassSnapshot("none", 1, 1, 1, 1, 1, 1))));
        assertEquals(new ClusterHealth(2, 0), g.brain.clusterHealth(g.now));
        assertEquals(BURST, serve(g, "n", BURST));
    }
}
