package caperrudder.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.api.Settings;
import caperrudder.scale.SimulatedDiscovery.SimulatedHost;
import caperrudder.scale.SimulatedDiscovery.State;
import caperrudder.server.discovery.EndpointLists;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What stands in for discovery, tenants and the meter does as the protocol's page says. */
class SimulatedDiscoveryTest {
    private static EndpointLists read(byte[] text) throws IOException {
        return EndpointLists.read(new ByteArrayInputStream(text));
    }

    @Test
    void theRealReadingUnderstandsDiscoverysTexts() throws IOException {
        SimulatedDiscovery discovery = new SimulatedDiscovery(20, 3, n -> "127.0.0.1:" + (1 + n));
        EndpointLists whole = read(discovery.fullList());
        assertTrue(whole.full());
        assertEquals(1, whole.version());
        assertEquals(20, whole.hosts().stream().map(Host::id).distinct().count());
        SimulatedHost host = discovery.hosts().get(4);
        discovery.change(host, State.GONE, 0);
        assertEquals(19, read(discovery.fullList()).hosts().size());
        discovery.change(host, State.DRAINING, 1234);
        EndpointLists change = read(discovery.changes(List.of(host)));
        assertFalse(change.full());
        assertEquals(3, change.version());
        Host told = change.hosts().get(0);
        assertEquals(
                List.of(host.id(), HostState.DRAINING, 1234.0, 1.0, "m2"),
                List.of(told.id(), told.state(), told.startedAtMs(), told.weight(), told.kind()));
    }

    @ParameterizedTest
    @CsvSource({"1,1,5", "4,2,10", "7,7,3", "10,3,1", "5,4,23"})
    void aGatewaysTenantsAreThoseWhoseSetHoldsIt(int fleet, int spread, int count) {
        Settings s = FleetSettings.of(0, fleet, "a", FleetSettings.UsageSharing.METER, 1);
        Tenants tenants = new Tenants(count, fleet, spread, s.plans());
        for (int g = 0; g < fleet; g++) {
            Set<Integer> own = new HashSet<>();
            for (int place = 0; place < tenants.countAt(g); place++) {
                own.add(tenants.tenantAt(g, place));
            }
            assertEquals(tenants.countAt(g), own.size());
            for (int t = 0; t < count; t++) {
                boolean inSet = Math.floorMod(g - tenants.firstReplica(t), fleet) < spread;
                assertEquals(inSet, own.contains(t), "tenant " + t + " at gateway " + g);
            }
        }
    }

    @Test
    void theMeterTellsTheLastFinishedSecondAndOneMore() {
        Settings s = FleetSettings.of(0, 1, "a", FleetSettings.UsageSharing.METER, 1);
        Tenants tenants = new Tenants(3, 1, 1, s.plans());
        double rate = tenants.plan(1).unitsPerSecond();
        tenants.use(1, rate / 2, 10_500);
        assertEquals(1, tenants.quotaUsedPercentPlusOne(1, 10_900));
        assertEquals(51, tenants.quotaUsedPercentPlusOne(1, 11_100));
        assertEquals(1, tenants.quotaUsedPercentPlusOne(1, 12_100));
        assertEquals(
                3,
                List.of(Tenants.id(0), Tenants.id(1), Tenants.id(2)).stream()
                        .distinct()
                        .filter(id -> id >= 0 && id < 1L << 33)
                        .count());
    }
}
