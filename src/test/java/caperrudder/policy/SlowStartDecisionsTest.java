package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pins every decision of gateways whose endpoints warm up after a start (slow start), by a digest of all actions. An
 * intended change of a decision changes the digest, and says so; a refactoring does not.
 */
class SlowStartDecisionsTest {
    private static final double OUT_MS = 700; // from the end of an endpoint to its start
    private static final int RESTARTED_EVERY = 4; // one endpoint in so many

    private static SeededWorld.Traffic free(double perSecond) {
        return new SeededWorld.Traffic(perSecond, 500, List.of(WorldSettings.FREE), 0.05, 0.01, 0.2);
    }

    /** Some endpoints restart under load, and as many new ones come. */
    private static SeededWorld rollingRestart(long seed, int gateways, int hosts, double perSecond) {
        SeededWorld world = new SeededWorld(WorldSettings.withMeter(seed, gateways), hosts);
        world.run(50);
        world.play(free(perSecond), 1500);
        List<SimulatedEndpoint> restarted = new ArrayList<>();
        for (int i = 0; i < hosts; i += RESTARTED_EVERY)
            restarted.add(world.endpoints().get(i));
        restarted.forEach(e -> e.up = false);
        world.play(free(perSecond), 100); // their failures are met before the list tells
        restarted.forEach(e -> e.state = HostState.GONE);
        world.publish(restarted);
        world.play(free(perSecond), OUT_MS);
        restarted.forEach(world::restart);
        world.publish(restarted);
        world.play(free(perSecond), 800);
        List<SimulatedEndpoint> added = new ArrayList<>();
        for (int i = 0; i < hosts; i += RESTARTED_EVERY) added.add(world.addEndpoint());
        added.forEach(world::restart);
        world.publish(added);
        world.play(free(perSecond), 4000);
        return world;
    }

    @Test
    void aFewGatewaysSendToEndpointsThatWarmUpAsBefore() {
        SeededWorld world = rollingRestart(11, 12, 40, 1500);
        assertTrue(world.sendsToWarmingUp > 200, "sends to endpoints that warm up: " + world.sendsToWarmingUp);
        assertTrue(world.retries > 20, "retries: " + world.retries);
        assertEquals(
                "a41e056f8e074700f8ba3ff10ccfa8ee27f6c878856ee4730439336ff3ba5422",
                world.digest("slow-start-11", world.processes()));
    }

    @Test
    void aGatewayAloneSendsToEndpointsThatWarmUpAsBefore() {
        SeededWorld world = rollingRestart(12, 1, 10, 380);
        assertTrue(world.sendsToWarmingUp > 100, "sends to endpoints that warm up: " + world.sendsToWarmingUp);
        assertEquals(
                "56b58000c2c4c69985f74903e97e56a0ecd683608782dbd9c7583ec2f3846104",
                world.digest("slow-start-12", world.processes()));
    }

    /** Of more than 100 gateways each keeps to another subset of the endpoints. */
    @Test
    void manyGatewaysSendToEndpointsThatWarmUpAsBefore() {
        SeededWorld world = rollingRestart(13, 120, 160, 4500);
        assertTrue(world.sendsToWarmingUp > 500, "sends to endpoints that warm up: " + world.sendsToWarmingUp);
        assertEquals(
                "08a4f721a3112342748c0d50f11a4b0cc99590c2f74a6e4716951dc7495fd427",
                world.digest("slow-start-13", world.processes()));
    }

    /** Of more than 100 gateways before many endpoints each keeps to an arc of a ring; here most of it is cold. */
    @Test
    void manyGatewaysBeforeMoreThan1024EndpointsThatWarmUpSendAsBefore() {
        int hosts = 1080; // the fewest of which each of these gateways keeps to an arc
        SeededWorld world = new SeededWorld(WorldSettings.withMeter(14, 101), hosts);
        for (int i = 0; i < hosts; i++) {
            if (i % 50 != 0) world.restart(world.endpoints().get(i));
        }
        world.run(50);
        world.play(free(2500), 500);
        world.publishAll(HostListKind.CACHED);
        world.publish(List.of(world.addEndpoint()));
        world.play(free(2500), 500);
        assertTrue(world.sendsToWarmingUp > 1000, "sends to endpoints that warm up: " + world.sendsToWarmingUp);
        assertEquals(
                "506d27992a34c18cdd8e17b83183a7f0e94bdcbd9cb67b372b1c62f68c7cf393",
                world.digest("slow-start-14", world.processes()));
    }
}
