package caperrudder.scale;

/** The clients of a simulated fleet: requests to each gateway, one after the other, evenly in time. */
final class ClientLoad {
    private final SimulatedFleet fleet;
    private final Progress progress;

    ClientLoad(SimulatedFleet fleet, Progress progress) {
        this.fleet = fleet;
        this.progress = progress;
    }

    /** Schedules one request of each of a gateway's tenants. */
    void requestOfEachTenant(SimulatedGateway gateway, double gapMs) {
        requestOfTenant(gateway, 0, fleet.tenants().countAt(gateway.index()), gapMs);
    }

    private void requestOfTenant(SimulatedGateway gateway, int position, int count, double gapMs) {
        if (position < count) {
            fleet.clock().schedule(gapMs, () -> {
                fleet.sendRequest(gateway, fleet.tenants().tenantAt(gateway.index(), position));
                requestOfTenant(gateway, position + 1, count, gapMs);
                progress.at("tenants met by a gateway", position, count);
            });
        }
    }

    /** Schedules so many requests at each gateway that has tenants, each of one of these, drawn by lot. */
    void requestsAtEachGateway(int count, double requestsPerSecond) {
        double gapMs = SimulatedFleet.MS_PER_SECOND / requestsPerSecond;
        for (SimulatedGateway gateway : fleet.gateways()) {
            if (fleet.tenants().countAt(gateway.index()) > 0) {
                double delayMs = fleet.random().nextDouble() * gapMs;
                fleet.clock().schedule(delayMs, () -> requestOfAnyTenant(gateway, 0, count, gapMs));
            }
        }
    }

    private void requestOfAnyTenant(SimulatedGateway gateway, int done, int count, double gapMs) {
        if (done < count) {
            int position = fleet.random().nextInt(fleet.tenants().countAt(gateway.index()));
            fleet.sendRequest(gateway, fleet.tenants().tenantAt(gateway.index(), position));
            fleet.clock().schedule(gapMs, () -> requestOfAnyTenant(gateway, done + 1, count, gapMs));
            progress.at("requests of a gateway", done, count);
        }
    }
}
