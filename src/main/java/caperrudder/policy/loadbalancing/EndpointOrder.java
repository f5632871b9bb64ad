package caperrudder.policy.loadbalancing;

/** The order in which a gateway keeps its endpoints: by a key, which is a hash of the host id, and then by the id. */
final class EndpointOrder {
    private final boolean uniformKeys;

    /** With {@code uniformKeys}, keys are distributed evenly over the range of int even if the ids are similar. */
    EndpointOrder(boolean uniformKeys) {
        this.uniformKeys = uniformKeys;
    }

    /** Returns the key of a host id, the same one in all gateways of a fleet. */
    int key(String id) {
        int hash = id.hashCode();
        if (!uniformKeys) return hash;
        // The finalizer of MurmurHash3.
        hash = (hash ^ hash >>> 16) * 0x85EBCA6B;
        hash = (hash ^ hash >>> 13) * 0xC2B2AE35;
        return hash ^ hash >>> 16;
    }

    int key(Endpoint endpoint) {
        return key(endpoint.id());
    }

    /** Compares a host with this key and id to an endpoint, as {@link Comparable#compareTo} does. */
    int compare(int key, String id, Endpoint other) {
        int byKey = Integer.compare(key, key(other));
        return byKey != 0 ? byKey : id.compareTo(other.id());
    }
}
