package caperrudder.policy.loadbalancing;

/** The order in which a gateway keeps its endpoints: by a hash of their ids, and by the ids where hashes are equal. */
final class EndpointOrder {
    private final boolean evenlySpread;

    /** With {@code evenlySpread} the hashes stand evenly in the whole range of int, whatever the ids are like. */
    EndpointOrder(boolean evenlySpread) {
        this.evenlySpread = evenlySpread;
    }

    /** The key of an id; all gateways of a fleet find the same. */
    int key(String id) {
        int hash = id.hashCode();
        if (!evenlySpread) return hash;
        // The finalizer of MurmurHash3.
        hash = (hash ^ hash >>> 16) * 0x85EBCA6B;
        hash = (hash ^ hash >>> 13) * 0xC2B2AE35;
        return hash ^ hash >>> 16;
    }

    int key(Endpoint endpoint) {
        return key(endpoint.id());
    }

    /** Compares a host of this key and id with an endpoint, as {@link Comparable} does. */
    int compare(int key, String id, Endpoint other) {
        int byKey = Integer.compare(key, key(other));
        return byKey != 0 ? byKey : id.compareTo(other.id());
    }
}
