package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pins every decision on customers that use more than their quotas, with clients that come back after the time that
 * Retry-After told, by a digest of all actions.
 */
class QuotaDecisionsTest {
    private static final SeededWorld.Traffic TRAFFIC =
            new SeededWorld.Traffic(400, 90, WorldSettings.PLANS, 0.05, 0.02, 0.7);
    private static final SeededWorld.Traffic OF_ONE_PLAN =
            new SeededWorld.Traffic(150, 8, List.of(WorldSettings.CAPPED), 0, 0.02, 0.7);

    private static final SeededWorld.Traffic OF_MANY = new SeededWorld.Traffic(
            1400,
            200,
            List.of(WorldSettings.SMALL, WorldSettings.OPEN, WorldSettings.BOTH, WorldSettings.CAPPED),
            0,
            0.02,
            0.7);

    private static SeededWorld play(WorldSettings settings) {
        SeededWorld world = new SeededWorld(settings, 20);
        world.run(50);
        world.play(TRAFFIC, 5000);
        world.play(OF_ONE_PLAN, 2000);
        world.run(23_000); // idle customers are forgotten, and the meter's figures age
        world.play(TRAFFIC, 2500);
        return world;
    }

    private static void assertExercised(SeededWorld world) {
        assertTrue(world.actions("send") > 1000, "sends: " + world.actions("send"));
        assertTrue(world.actions("refuse") > 500, "refusals: " + world.actions("refuse"));
        assertTrue(world.retryAfters > 200, "retries of clients: " + world.retryAfters);
    }

    @Test
    void gatewaysWithAMeterEnforceQuotasAsBefore() {
        SeededWorld world = play(WorldSettings.withMeter(61, 14));
        assertExercised(world);
        assertEquals(
                "cc16730d0996dfaa615f72029e1ad314f1d4686a76ea5ffa300c168350cb6f35",
                world.digest("quotas-61", world.processes()));
    }

    @Test
    void aGatewayAloneEnforcesQuotasAsBefore() {
        SeededWorld world = play(WorldSettings.withPeers(62, 1));
        assertExercised(world);
        assertEquals(
                "c528c1ff48c6c9dd939a419bc500de726226931703b29dbfa4b4b3c56397e987",
                world.digest("quotas-62", world.processes()));
    }

    @Test
    void unitsToldWithTheAnswersAreChargedAsBefore() {
        SeededWorld world = play(WorldSettings.postPaid(63, 4));
        assertExercised(world);
        assertEquals(
                "f5e48026cd21436cf41f4320b460a543e80e3efd2a25156212bfe573d779862d",
                world.digest("quotas-63", world.processes()));
    }

    /** What a gateway does not know of a customer it judges by the odds of its plan. */
    @Test
    void customersThatAreMostlyUnknownAreJudgedAsBefore() {
        SeededWorld world = new SeededWorld(WorldSettings.withMeter(64, 30), 60);
        world.run(50);
        world.play(OF_MANY, 8000);
        assertExercised(world);
        assertEquals(
                "9ebc916a35b30dda26ac59037cc4efd7a5c80e0adb6ecbbf1ffe2f34562a07b4",
                world.digest("quotas-64", world.processes()));
    }
}
