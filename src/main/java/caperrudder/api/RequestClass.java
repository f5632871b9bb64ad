package caperrudder.api;

/**
 * A class of requests (WIRE, {@code classes}).
 *
 * @param name the name by which requests refer to the class
 * @param idempotency whether a request may be sent again after an attempt that may have been executed
 * @param deduplicationScope the hosts that share their record of idempotency keys; used only with
 *     {@link Idempotency#IDEMPOTENCY_KEY}
 * @param deduplicationWindowMs how long hosts remember an idempotency key after its first use, in milliseconds; used
 *     only with {@link Idempotency#IDEMPOTENCY_KEY}
 * @param latencyObjectiveMs response time in milliseconds up to which a response earns the full value of its request
 * @param clientTimeoutMs how long a client waits for the response, over all attempts, in milliseconds
 * @param priorityWeight value of a request of one unit, relative to other classes
 * @param lateValueShare share of its value, from 0 to 1, that a response between objective and deadline earns
 * @param streaming whether responses are streamed
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double latencyObjectiveMs,
        double clientTimeoutMs,
        double priorityWeight,
        double lateValueShare,
        boolean streaming) {}
