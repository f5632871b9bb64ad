package caperrudder.policy.gossip;

import java.util.Comparator;
import java.util.stream.IntStream;

/** Rendezvous hashing: each gateway finds by itself which gateways of a replica set stand first for a key. */
public final class RendezvousHash {
    private static final long KEY_FACTOR = 31;
    private static final long FIRST_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9L;

    private RendezvousHash() {}

    /**
     * Gateways of a replica set in the order of their hash with a key.
     *
     * @param firstReplica number of the first gateway of the set; the others follow, counted round
     * @param gatewayCount of the deployment
     * @param limit most gateways named
     */
    public static int[] rank(long key, int firstReplica, int replicaCount, int gatewayCount, int limit) {
        return IntStream.range(firstReplica, firstReplica + replicaCount)
                .map(gateway -> Math.floorMod(gateway, gatewayCount))
                .boxed()
                .sorted(Comparator.comparingLong(gateway -> mix(key * KEY_FACTOR + mix(gateway))))
                .limit(limit)
                .mapToInt(gateway -> gateway)
                .toArray();
    }

    private static long mix(long value) {
        long hash = (value ^ value >>> 32) * FIRST_MULTIPLIER;
        return (hash ^ hash >>> 29) * SECOND_MULTIPLIER ^ hash >>> 32;
    }
}
