package caperrudder.policy.gossip;

import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Rendezvous hashing: ranks the gateways of a replica set for a key. All gateways compute the same ranking without
 * communicating.
 */
public final class RendezvousHash {
    private static final long KEY_FACTOR = 31;
    private static final long FIRST_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9L;

    private RendezvousHash() {}

    /**
     * Returns the numbers of a replica set's gateways in the order of their hashes with the key.
     *
     * @param firstReplica number of the first gateway of the set; the set continues with the following numbers and
     *     wraps around to 0 after the last gateway of the deployment
     * @param replicaCount number of gateways in the set
     * @param gatewayCount number of gateways in the deployment
     * @param limit maximum number of gateways returned
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
