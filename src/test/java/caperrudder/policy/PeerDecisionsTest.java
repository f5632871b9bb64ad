package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.CoordinationSettings;
import caperrudder.api.Plan;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pins every decision of gateways that send messages to each other over a bad network, while idle customers are
 * forgotten and while event loops stall, by a digest of all actions; the bytes of the messages are among them.
 */
class PeerDecisionsTest {
    private static final int GATEWAYS = 5;
    private static final int HOSTS = 12;
    private static final double IDLE_MS = 31_000; // all customers are forgotten
    private static final double STALL_MS = 420;
    private static final List<Plan> LIMITED = List.of(
            WorldSettings.SMALL,
            WorldSettings.CAPPED,
            WorldSettings.OPEN,
            WorldSettings.BEYOND,
            WorldSettings.BOTH,
            WorldSettings.CAPPED,
            WorldSettings.OPEN);
    private static final SeededWorld.Traffic TRAFFIC = new SeededWorld.Traffic(300, 70, LIMITED, 0.05, 0.03, 0.4);
    private static final SeededWorld.Traffic FEW = new SeededWorld.Traffic(60, 400, LIMITED, 0.05, 0.03, 0.4);
    private static final SeededWorld.PeerNetwork BAD = new SeededWorld.PeerNetwork(2, 90, 0.1, 0.1, 0.02);
    private static final SeededWorld.PeerNetwork CUT_OFF = new SeededWorld.PeerNetwork(1, 3, 1, 0, 0);

    private static SeededWorld play(long seed) {
        SeededWorld world = new SeededWorld(WorldSettings.withPeers(seed, GATEWAYS), HOSTS);
        world.run(50);
        world.play(TRAFFIC, 3000);
        world.peerNetwork = BAD;
        world.play(TRAFFIC, 3000);
        world.serving(1).stall(STALL_MS);
        world.play(TRAFFIC, 1000);
        world.peerNetwork = CUT_OFF;
        world.play(TRAFFIC, 1500);
        world.peerNetwork = BAD;
        world.play(TRAFFIC, 1000);
        world.run(IDLE_MS);
        world.serving(2).stall(STALL_MS);
        world.play(TRAFFIC, 1500);
        world.serve(world.begin(3)); // a new life with no snapshot
        world.play(TRAFFIC, 3000);
        return world;
    }

    private static void assertExercised(SeededWorld world) {
        assertTrue(world.messagesLost > 100, "lost messages: " + world.messagesLost);
        assertTrue(world.messagesDuplicated > 50, "duplicated messages: " + world.messagesDuplicated);
        assertTrue(world.messagesDamaged > 10, "damaged messages: " + world.messagesDamaged);
        assertTrue(world.actions("send") > 1000, "sends: " + world.actions("send"));
        assertTrue(world.actions("refuse") > 500, "refusals: " + world.actions("refuse"));
        for (SeededWorld.GatewayProcess process : world.processes()) {
            assertTrue(process.actions.count("tell") > 100, "messages of gateway " + process.number);
        }
    }

    @Test
    void gatewaysShareQuotasByMessagesAsBefore() {
        SeededWorld world = play(41);
        assertExercised(world);
        assertEquals(
                "6fb0c229016a59797e90ea370f11b15b7c3b957f69f54891e3eb6f066ce5e904",
                world.digest("peers-41", world.processes()));
    }

    @Test
    void withAnotherSeedTheyShareQuotasAsBefore() {
        SeededWorld world = play(42);
        assertExercised(world);
        assertEquals(
                "243750e6b9e862127e267343b7444b08f81ba832c89d1a1b388cacbcafe54aa5",
                world.digest("peers-42", world.processes()));
    }

    /** Each gateway takes in few messages a second, and there are many to ask. */
    @Test
    void whereFewMessagesMayBeSentTheyShareQuotasAsBefore() {
        WorldSettings settings = WorldSettings.withPeers(43, 12)
                .with(new CoordinationSettings(false, 0, 0, false, 4, 60, 0.01, 0.01, 0.01));
        SeededWorld world = new SeededWorld(settings, HOSTS);
        world.run(50);
        world.play(TRAFFIC, 5000);
        world.play(FEW, 10_000);
        assertTrue(world.actions("tell") > 300, "messages: " + world.actions("tell"));
        assertTrue(world.actions("send") > 500, "sends: " + world.actions("send"));
        assertEquals(
                "8fc1cbf9f23658999f276961112193d5af7b510b00f50e022a6b5e5cb20c0ab8",
                world.digest("peers-43", world.processes()));
    }
}
