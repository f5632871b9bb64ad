package caperrudder.scale;

import caperrudder.scale.FleetSettings.UsageSharing;

/**
 * How large a simulated fleet is, and how long it is measured.
 *
 * @param gateways those that are built, spread evenly over the fleet
 * @param fleet the gateways that the settings speak of, of which those built are some
 * @param hosts the hosts in discovery's list
 * @param tenants the tenants of the whole fleet
 * @param spread the gateways in a tenant's replica set
 * @param requests requests to each gateway
 * @param requestsPerSecond their rate at each gateway
 * @param changes updates of one host
 * @param atOnce the hosts that an outage takes at once
 * @param idleSeconds simulated seconds without requests
 * @param sharing how gateways learn what the others admitted
 * @param seed of all that is drawn
 */
record FleetSize(
        int gateways,
        int fleet,
        int hosts,
        int tenants,
        int spread,
        int requests,
        double requestsPerSecond,
        int changes,
        int atOnce,
        int idleSeconds,
        UsageSharing sharing,
        long seed) {
    /** The most gateways: a message between them has two bytes for a number. */
    static final int FLEET_MAX = 65_535;

    private static final double BYTES_PER_HOST = 800; // in one policy, its strings counted
    private static final double BYTES_PER_TENANT = 600;
    private static final double BYTES_PER_PEER = 240;
    private static final double BYTES_PER_LISTED_HOST = 2500; // its line as text, tree and simulated host
    private static final double BYTES_OF_PROCESS = 96 << 20;
    private static final double BYTES_PER_TENANT_METER = 12;
    private static final double RATE_MAX = 100_000;
    private static final int IDLE_SECONDS_MAX = 3600;

    /** Throws IllegalArgumentException, with a message that names the option, for a size that makes no sense. */
    FleetSize {
        check(gateways >= 1, "--gateways must be at least 1");
        check(fleet >= gateways, "--fleet must be at least --gateways (" + gateways + ")");
        check(fleet <= FLEET_MAX, "--fleet must be at most " + FLEET_MAX);
        check(hosts >= 1, "--hosts must be at least 1");
        check(tenants >= 1, "--tenants must be at least 1");
        check(spread >= 1 && spread <= fleet, "--spread must be from 1 to the size of the fleet (" + fleet + ")");
        check(requests >= 0, "--requests must not be negative");
        check(
                requestsPerSecond > 0 && requestsPerSecond <= RATE_MAX,
                "--rate must be above 0 and at most 100000 requests a second");
        check(changes >= 0, "--changes must not be negative");
        check(atOnce >= 0 && atOnce <= hosts, "--at-once must be from 0 to --hosts (" + hosts + ")");
        check(idleSeconds >= 1 && idleSeconds <= IDLE_SECONDS_MAX, "--idle must be from 1 to 3600 seconds");
    }

    private static void check(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    /** The bytes that a run will need at most, roughly and from above. */
    double estimatedBytes() {
        double tenantsEach = Math.min(tenants, (double) tenants * spread / fleet + 1);
        double gateway = hosts * BYTES_PER_HOST + tenantsEach * BYTES_PER_TENANT + fleet * BYTES_PER_PEER;
        return gateways * gateway + hosts * BYTES_PER_LISTED_HOST + tenants * BYTES_PER_TENANT_METER + BYTES_OF_PROCESS;
    }
}
