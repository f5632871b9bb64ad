package caperrudder.policy;

import static caperrudder.policy.ActionRecorder.bits;
import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.ClusterHealth;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.PolicyEvents;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.policy.SeededWorld.GatewayProcess;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pins what a process of a gateway writes into its snapshot, and every decision before and after a successor has
 * taken it over, by digests of all fields and of all actions.
 */
class SnapshotDecisionsTest {
    private static final SeededWorld.Traffic TRAFFIC =
            new SeededWorld.Traffic(250, 80, WorldSettings.PLANS, 0.05, 0.02, 0.3);
    private static final SeededWorld.Faults FAULTS = new SeededWorld.Faults(0.02, 0, 0.01, 0.005, 0.02, 0.02, 0.005);
    private static final int HOSTS = 14;
    private static final int CROWD_HOSTS = 400;
    private static final int SNAPSHOT_CUSTOMERS = 4000; // at most

    /** A world in which gateways hand over, and what their snapshots said. */
    private static final class Handover {
        final SeededWorld world;
        final List<String> snapshots = new ArrayList<>();

        Handover(WorldSettings settings, int hosts) {
            world = new SeededWorld(settings, hosts);
            world.faults = FAULTS;
            world.endpoints().get(1).failingClasses.add("order");
            world.endpoints().get(2).up = false;
            world.endpoints().get(3).failingClasses.addAll(List.of("lookup", "payment"));
        }

        void handOver(GatewayProcess from, GatewayProcess to) {
            PolicySnapshot snapshot = from.policy.takeSnapshot(world.now());
            snapshots.addAll(text(snapshot));
            to.policy.restoreSnapshot(world.now(), snapshot);
            ClusterHealth cluster = to.policy.clusterHealth(world.now());
            snapshots.add("cluster " + cluster.hostCount() + " " + cluster.unhealthyHostCount());
        }

        String snapshotDigest(String name) {
            ActionRecorder.keep(name, snapshots);
            return ActionRecorder.digest(snapshots);
        }

        long countOf(String kind) {
            return snapshots.stream().filter(line -> line.startsWith(kind)).count();
        }
    }

    private static List<String> text(PolicySnapshot snapshot) {
        List<String> lines = new ArrayList<>();
        lines.add("snapshot " + bits(snapshot.takenAtMs()) + " " + bits(snapshot.concurrencyLimitPerHost()));
        for (QuotaSnapshot c : snapshot.quotas()) {
            lines.add("customer " + c.customer() + " " + c.plan() + " " + c.firstReplica() + " " + c.replicaCount()
                    + " "
                    + bits(c.sharedLevelUnits()) + " " + bits(c.localLevelUnits()) + " " + bits(c.meteredLevelUnits())
                    + " "
                    + bits(c.demandUnitsPerSecond()) + " "
                    + bits(c.usedUnits()) + " " + bits(c.usedUnitsPerSecond()) + " " + bits(c.meteredShare()) + " "
                    + bits(c.lastMeterReportAtMs())
                    + " " + bits(c.meteredPeerUnitsPerSecond()));
        }
        for (HealthSnapshot h : snapshot.health()) {
            lines.add("health " + h.hostId() + " " + h.requestClass() + " " + bits(h.latencyPenalty()) + " "
                    + bits(h.updatedAtMs()) + " " + h.consecutiveFailures());
        }
        for (ClassSnapshot c : snapshot.classes()) {
            lines.add("class " + c.name() + " " + bits(c.weight()) + " " + bits(c.latencyPerUnitMs()) + " "
                    + bits(c.baseLatencyPerUnitMs()) + " " + c.latencySampleCount() + " " + bits(c.delayMs()) + " "
                    + bits(c.delaySlopeMs()));
        }
        return lines;
    }

    /**
     * The first gateway hands over to a successor that has yet to serve, and again while both are at work; the
     * second one hands over to a successor that serves already.
     */
    private static Handover play(WorldSettings settings) {
        Handover handover = new Handover(settings, HOSTS);
        SeededWorld world = handover.world;
        world.run(50);
        world.play(TRAFFIC, 4000);
        GatewayProcess first = world.serving(0);
        GatewayProcess successor = world.begin(0);
        world.play(TRAFFIC, 30);
        handover.handOver(first, successor);
        world.play(TRAFFIC, 200);
        handover.handOver(first, successor);
        world.serve(successor);
        world.play(TRAFFIC, 300);
        handover.handOver(first, successor);
        world.play(TRAFFIC, 1000);
        handover.handOver(first, successor);

        GatewayProcess second = world.serving(1);
        GatewayProcess late = world.begin(1);
        world.play(TRAFFIC, 30);
        world.serve(late);
        world.play(TRAFFIC, 400);
        handover.handOver(second, late);
        world.play(TRAFFIC, 2000);
        return handover;
    }

    private static void assertExercised(Handover handover) {
        assertTrue(handover.countOf("customer ") > 100, "customers: " + handover.countOf("customer "));
        assertTrue(handover.countOf("health ") > 50, "health: " + handover.countOf("health "));
        assertEquals(5L * WorldSettings.CLASSES.size(), handover.countOf("class "));
        for (int i = 0; i < handover.world.processes().size(); i++) {
            GatewayProcess process = handover.world.processes().get(i);
            assertTrue(process.actions.count("send") > 100, "sends of process " + i);
            assertTrue(process.actions.count("refuse") > 10, "refusals of process " + i);
        }
        assertTrue(handover.world.retries > 50, "retries: " + handover.world.retries);
    }

    @Test
    void gatewaysWithPeersHandOverAsBefore() {
        Handover handover = play(WorldSettings.withPeers(21, 3));
        assertExercised(handover);
        assertTrue(handover.world.actions("tell") > 500, "messages: " + handover.world.actions("tell"));
        List<GatewayProcess> all = handover.world.processes();
        assertAll(
                () -> assertEquals(
                        "af7868fbeb94b78c7bb2ee410e29e2b089210cb94e9b4d354b2e97f5c94a8d03",
                        handover.snapshotDigest("snapshot-21")),
                () -> assertEquals(
                        "3426a5bd55dbdea879562be9c6fca46ff4c95980146ad3cb1b4318249a621cc5",
                        handover.world.digest("predecessors-21", all.subList(0, 3))),
                () -> assertEquals(
                        "0e0d446237bb963d58a32ee3951f272db6a280081e8c41561828cd76a9336c03",
                        handover.world.digest("successors-21", all.subList(3, 5))));
    }

    @Test
    void gatewaysWithAMeterHandOverAsBefore() {
        Handover handover = play(WorldSettings.withMeter(22, 3));
        assertExercised(handover);
        List<GatewayProcess> all = handover.world.processes();
        assertAll(
                () -> assertEquals(
                        "8ef58f3498631acf135fab5dc3934013e2c7716dded851c5d2db15dae9a579b5",
                        handover.snapshotDigest("snapshot-22")),
                () -> assertEquals(
                        "62914846a003441e7dd744f4a51bbe8178b15f7bce591284e5d1f7a4c35734a3",
                        handover.world.digest("predecessors-22", all.subList(0, 3))),
                () -> assertEquals(
                        "d09273fee29cec2e166f996dbe607211489a34ac550b355862db58ff7b6a9858",
                        handover.world.digest("successors-22", all.subList(3, 5))));
    }

    /** A gateway knows no more than so many customers, and its snapshot holds those used last. */
    @Test
    void aCrowdOfCustomersIsHandedOverAsBefore() {
        SeededWorld.Traffic crowd = new SeededWorld.Traffic(24_000, 100_000, WorldSettings.PLANS, 0, 0, 0);
        Handover handover = new Handover(WorldSettings.withPeers(23, 1), CROWD_HOSTS);
        SeededWorld world = handover.world;
        world.run(50);
        world.play(crowd, 1500);
        GatewayProcess successor = world.begin(0);
        world.run(30);
        handover.handOver(world.serving(0), successor);
        world.serve(successor);
        world.play(crowd, 50);
        assertEquals(SNAPSHOT_CUSTOMERS, handover.countOf("customer "));
        assertTrue(world.actions("refuse") > 1000, "refusals: " + world.actions("refuse"));
        assertTrue(successor.actions.count("send") > 500, "sends of the successor");
        assertAll(
                () -> assertEquals(
                        "2c301e6107719a73887bfe7dd33041ff5859030d0b39a1faee8332c0ed1483db",
                        handover.snapshotDigest("snapshot-23")),
                () -> assertEquals(
                        "75ef7cce4d970a089dc635ed049e4a6ccaa9bb80b1ce4d1fde951972d8cec560",
                        world.digest("crowd-23", world.processes())));
    }

    @Test
    void attemptsPerEndpointAreTakenOverWithinTheirBounds() {
        assertEquals(128, attemptsPerEndpointAfter(1000));
        assertEquals(128, attemptsPerEndpointAfter(128.5));
        assertEquals(17.25, attemptsPerEndpointAfter(17.25));
        assertEquals(3, attemptsPerEndpointAfter(2.5));
        assertEquals(3, attemptsPerEndpointAfter(-1));
    }

    private static double attemptsPerEndpointAfter(double inherited) {
        SeededWorld world = new SeededWorld(WorldSettings.withPeers(24, 1), HOSTS);
        world.run(50);
        PolicyEvents policy = world.serving(0).policy;
        policy.restoreSnapshot(
                world.now(), new PolicySnapshot(world.now(), inherited, List.of(), List.of(), List.of()));
        return policy.takeSnapshot(world.now()).concurrencyLimitPerHost();
    }
}
