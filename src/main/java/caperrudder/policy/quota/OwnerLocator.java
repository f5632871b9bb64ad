package caperrudder.policy.quota;

/**
 * Determines the owners of a customer's quota. Owners keep the quota for its whole replica set, which is the set of
 * gateways that may receive the customer's requests.
 */
public interface OwnerLocator {
    /**
     * Returns the indexes of the gateways that own a quota, in order of rank. The first one is in charge. Each gateway
     * computes the same result by itself.
     *
     * @param firstReplica index of the first gateway of the replica set
     * @param replicaCount number of gateways in the set, at least 1
     */
    int[] ownersOf(long customer, int firstReplica, int replicaCount);

    /** Returns whether this gateway currently decides for the whole replica set. */
    boolean decidesLocally(double now, CustomerQuota quota);
}
