package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.HostState;
import caperrudder.api.Outcome;
import caperrudder.api.SiteLimits;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pins every decision on requests that arrive slowly, responses that stream, clients that leave and endpoints that
 * drain, after each outcome of an attempt, by a digest of all actions.
 */
class StreamingDecisionsTest {
    private static final SeededWorld.Traffic TRAFFIC =
            new SeededWorld.Traffic(350, 60, WorldSettings.PLANS, 0.4, 0.15, 0.3);
    private static final SeededWorld.Faults FAULTS = new SeededWorld.Faults(0.04, 0.02, 0.01, 0.01, 0.04, 0.03, 0.02);
    private static final int HOSTS = 16;
    private static final int DRAINED = 4;

    private static SeededWorld play(WorldSettings settings) {
        SeededWorld world = new SeededWorld(settings, HOSTS);
        world.failingLists = 1;
        world.faults = FAULTS;
        world.play(TRAFFIC, 3500); // the gateway without a list asks again in this time
        List<SimulatedEndpoint> drained = world.endpoints().subList(0, DRAINED);
        drained.forEach(e -> e.state = HostState.DRAINING);
        world.publish(drained);
        world.play(TRAFFIC, 500);
        drained.forEach(e -> e.up = false);
        world.play(TRAFFIC, 200);
        drained.forEach(e -> e.state = HostState.GONE);
        world.publish(drained);
        world.play(TRAFFIC, 800);
        drained.forEach(world::restart);
        world.publish(drained);
        world.play(TRAFFIC, 2500);
        world.run(3000);
        return world;
    }

    private static void assertExercised(SeededWorld world) {
        for (Outcome outcome : Outcome.values()) {
            assertTrue(world.outcomes(outcome) >= 5, outcome + ": " + world.outcomes(outcome));
        }
        assertTrue(world.uploadsCompleted > 200, "slow uploads: " + world.uploadsCompleted);
        assertTrue(world.requestsSpent > 50, "spent requests: " + world.requestsSpent);
        assertTrue(world.streamsStarted > 100, "streams: " + world.streamsStarted);
        assertTrue(world.streamsBroken > 3, "broken streams: " + world.streamsBroken);
        assertTrue(world.streamsLeft > 3, "streams left by their clients: " + world.streamsLeft);
        assertTrue(world.clientsLeft > 50, "clients that left: " + world.clientsLeft);
        assertTrue(world.retries > 100, "retries: " + world.retries);
        assertTrue(world.actions("fail") > 10, "failed: " + world.actions("fail"));
        assertTrue(world.actions("refuse") > 100, "refused: " + world.actions("refuse"));
    }

    @Test
    void slowRequestsAndStreamedResponsesAreServedAsBefore() {
        SeededWorld world = play(WorldSettings.postPaid(31, 3));
        assertExercised(world);
        assertTrue(world.actions("cancel") > 50, "cancelled: " + world.actions("cancel"));
        assertTrue(world.retryAfters > 50, "retries of clients: " + world.retryAfters);
        assertEquals(
                "52d574003a927b6f2e4b3629366d57cbfb103e24128ebb980822f0e5135d9946",
                world.digest("streaming-31", world.processes()));
    }

    @Test
    void withoutCancelAndRetryAfterTheyAreServedAsBefore() {
        WorldSettings settings =
                WorldSettings.postPaid(32, 2).with(new SiteLimits(2, false, false, false, false, false, 0, 250));
        SeededWorld world = play(settings);
        assertExercised(world);
        assertEquals(0, world.actions("cancel"));
        assertEquals(0, world.retryAfters);
        assertEquals(
                "16310a4a458f81c4b7a941039d37c6657c776d02748fa1d773e977ae6bf46af6",
                world.digest("streaming-32", world.processes()));
    }
}
