package caperrudder.api;

/**
 * A request.
 *
 * @param id unique among the gateway's open requests
 * @param deadlineMs when the client gives up
 * @param arrivedMs since when the client waits
 * @param clientRetry whether the client says that it has sent the request before
 * @param requestClass the name of its class
 * @param customer the customer's number
 * @param plan the name of the customer's plan
 * @param units its size
 * @param firstReplica the first gateway of the customer's replica set
 * @param replicaCount the gateways of that set, counted round from the first
 * @param bodyPending whether its end is still to come, and with it the time at which its client begins to wait
 */
public record Request(
        String id,
        double deadlineMs,
        double arrivedMs,
        boolean clientRetry,
        String requestClass,
        long customer,
        String plan,
        double units,
        int firstReplica,
        int replicaCount,
        boolean bodyPending) {
    /** A request that has come whole. */
    public Request(
            String id,
            double deadlineMs,
            double arrivedMs,
            boolean retry,
            String requestClass,
            long customer,
            String plan,
            double units,
            int first,
            int spread) {
        this(id, deadlineMs, arrivedMs, retry, requestClass, customer, plan, units, first, spread, false);
    }
}
