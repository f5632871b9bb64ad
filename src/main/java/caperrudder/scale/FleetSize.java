package caperrudder.scale;

import caperrudder.scale.FleetSettings.Sharing;

/**
 * How large a fleet is measured, and with what. {@code fleet} is the number of gateways that the settings tell of, of
 * which {@code gateways} are built, spread evenly; requests are those of each gateway, {@code atOnce} the hosts that a
 * zone's loss takes in one moment, {@code spread} the gateways of a tenant's set.
 */
record FleetSize(
        int gateways,
        int fleet,
        int hosts,
        int tenants,
        int spread,
        int requests,
        double requestsPerS,
        int changes,
        int atOnce,
        int idleS,
        Sharing sharing,
        long seed) {
    static final int FLEET_MAX = 65_535; // a message between gateways has two bytes for a number
    private static final double PER_HOST_BYTES = 800; // in one module, its strings counted
    private static final double PER_TENANT_BYTES = 600;
    private static final double PER_PEER_BYTES = 240;
    private static final double READING_BYTES = 2500; // a host's line, as text, tree and stand-in
    private static final double BASE_BYTES = 96 << 20;

    FleetSize {
        check(gateways >= 1, "--gateways must be at least 1");
        check(fleet >= gateways, "--fleet must be at least --gateways (" + gateways + ")");
        check(fleet <= FLEET_MAX, "--fleet must be at most " + FLEET_MAX);
        check(hosts >= 1, "--hosts must be at least 1");
        check(tenants >= 1, "--tenants must be at least 1");
        check(spread >= 1 && spread <= fleet, "--spread must be from 1 to the size of the fleet (" + fleet + ")");
        check(requests >= 0, "--requests must not be negative");
        check(
                requestsPerS > 0 && requestsPerS <= 100_000,
                "--rate must be above 0 and at most 100000 requests a second");
        check(changes >= 0, "--changes must not be negative");
        check(atOnce >= 0 && atOnce <= hosts, "--at-once must be from 0 to --hosts (" + hosts + ")");
        check(idleS >= 1 && idleS <= 3600, "--idle must be from 1 to 3600 seconds");
    }

    private static void check(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    /** What a run will hold at most, roughly and from above. */
    double estimatedBytes() {
        double tenantsEach = Math.min(tenants, (double) tenants * spread / fleet + 1);
        return gateways * (hosts * PER_HOST_BYTES + tenantsEach * PER_TENANT_BYTES + fleet * PER_PEER_BYTES)
                + hosts * READING_BYTES
                + tenants * 12.0
                + BASE_BYTES;
    }
}
