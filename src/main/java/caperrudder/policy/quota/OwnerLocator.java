package caperrudder.policy.quota;

/**
 * Finds the owners of a customer's quota. They keep the quota for its whole replica set, the gateways that may
 * receive the customer's requests.
 */
public interface OwnerLocator {
    /**
     * Gateways of a replica set that own a quota, the first in charge; each gateway computes the same by itself.
     *
     * @param firstReplica number of the first gateway of the set
     * @param replicaCount gateways in the set, at least 1
     */
    int[] ownersOf(long customer, int firstReplica, int replicaCount);

    /** Whether this gateway decides for the whole replica set at present. */
    boolean decidesLocally(double now, CustomerQuota quota);
}
