package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pins every decision on retries and on outliers: endpoints that fail some classes, hang, go down or are overloaded,
 * with idempotency keys that hold everywhere, in a zone or in a cell, by a digest of all actions.
 */
class RetryDecisionsTest {
    private static final SeededWorld.Faults FAULTS = new SeededWorld.Faults(0.02, 0, 0.01, 0.005, 0.02, 0.02, 0.01);

    private static SeededWorld.Traffic traffic(double perSecond) {
        return new SeededWorld.Traffic(perSecond, 100, List.of(WorldSettings.FREE), 0.05, 0.02, 0.2);
    }

    private static SeededWorld outliers(WorldSettings settings, int hosts, double perSecond, double ms) {
        SeededWorld world = new SeededWorld(settings, hosts);
        world.faults = FAULTS;
        for (SimulatedEndpoint endpoint : world.endpoints()) {
            int number = Integer.parseInt(endpoint.id.substring("host-".length()));
            endpoint.hangs = number % 9 == 1;
            endpoint.up = number % 11 != 2;
            if (number % 5 == 3) endpoint.failingClasses.addAll(List.of("order", "booking"));
            if (number % 13 == 4) endpoint.failingClasses.add("transfer");
        }
        world.run(50);
        world.play(traffic(perSecond), ms);
        return world;
    }

    private static void assertExercised(SeededWorld world) {
        assertTrue(world.retries > 300, "retries: " + world.retries);
        assertTrue(world.outcomes(Outcome.CANCELLED) > 20, "cancelled: " + world.outcomes(Outcome.CANCELLED));
        assertTrue(world.outcomes(Outcome.ERROR) > 100, "errors: " + world.outcomes(Outcome.ERROR));
        assertTrue(world.actions("fail") > 10, "failed: " + world.actions("fail"));
    }

    @Test
    void aFewGatewaysRetryAndAvoidOutliersAsBefore() {
        SeededWorld world = outliers(WorldSettings.withPeers(51, 3), 36, 500, 8000);
        assertExercised(world);
        assertEquals(
                "2e24b1003b555381df6bc3128abf1e0e6d79813f531b4feadea20f7a1a5f2644",
                world.digest("retries-51", world.processes()));
    }

    @Test
    void manyGatewaysRetryAndAvoidOutliersAsBefore() {
        SeededWorld world = outliers(WorldSettings.withMeter(52, 40), 60, 1000, 4000);
        assertExercised(world);
        assertEquals(
                "29ad0c3e334e7ed139632e290141d66f38aa53c126427fbb173ccf49417a5b07",
                world.digest("retries-52", world.processes()));
    }

    /** Not all of so many endpoints are compared for one request. */
    @Test
    void beforeMoreThan1024EndpointsTheyRetryAsBefore() {
        SeededWorld world = outliers(WorldSettings.withMeter(53, 30), 1300, 1500, 2500);
        assertExercised(world);
        assertEquals(
                "29e7fdbefec9b68a3c387cf8c4133660e42e84822c3de4015ad27832f18e2414",
                world.digest("retries-53", world.processes()));
    }

    /** Requests are held, given up and refused, and the classes' weights move. */
    @Test
    void overloadedEndpointsAreSentAsMuchAsBefore() {
        SeededWorld world = new SeededWorld(WorldSettings.withPeers(54, 2), 6);
        world.run(50);
        world.play(traffic(170), 4000);
        world.play(traffic(330), 8000);
        world.play(traffic(230), 30_000);
        world.play(traffic(120), 3000);
        assertTrue(world.outcomes(Outcome.OK) > 1500, "served: " + world.outcomes(Outcome.OK));
        assertTrue(world.actions("refuse") > 300, "refusals: " + world.actions("refuse"));
        assertEquals(
                "b007d3161397b22230a81807062f2e608822e8c2ec02c9265f39f1a404c9ad3e",
                world.digest("overload-54", world.processes()));
    }
}
