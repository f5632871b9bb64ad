package caperrudder.api;

/**
 * A request, waiting since {@code arrivedMs}: {@code spread} gateways from number {@code first} on, counted round,
 * may receive the customer. Of one that is still {@code arriving} the end is to come, and its time with it.
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
