package caperrudder.api;

/**
 * A client's request. Times are in milliseconds of the clock of {@link PolicyEvents}.
 *
 * @param id unique among the gateway's open requests
 * @param deadlineAtMs when the client gives up; replaced when a pending body is complete
 * @param arrivedAtMs when the request arrived
 * @param clientRetry whether the client marked the request as a retry
 * @param requestClass name of the class
 * @param customer number of the customer
 * @param plan name of the customer's plan
 * @param units size of the request in units of the quota
 * @param firstReplica index of the first gateway of the customer's replica set
 * @param replicaCount number of gateways in the replica set: the first and those that follow it, wrapping around after
 *     the last gateway
 * @param bodyPending whether the body is still incomplete; if so, the client begins to wait only when the body is
 *     complete, see {@link PolicyEvents#requestBodyCompleted}
 */
public record Request(
        String id,
        double deadlineAtMs,
        double arrivedAtMs,
        boolean clientRetry,
        String requestClass,
        long customer,
        String plan,
        double units,
        int firstReplica,
        int replicaCount,
        boolean bodyPending) {
    /** Creates a request whose body is complete. */
    public Request(
            String id,
            double deadlineAtMs,
            double arrivedAtMs,
            boolean clientRetry,
            String requestClass,
            long customer,
            String plan,
            double units,
            int firstReplica,
            int replicaCount) {
        this(
                id,
                deadlineAtMs,
                arrivedAtMs,
                clientRetry,
                requestClass,
                customer,
                plan,
                units,
                firstReplica,
                replicaCount,
                false);
    }
}
