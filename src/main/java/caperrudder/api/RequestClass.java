package caperrudder.api;

/**
 * A class of requests (WIRE, {@code classes}).
 *
 * @param name as requests give it
 * @param idempotency what a second attempt may do
 * @param deduplicationScope with an idempotency key: the hosts that drop repeats of one key
 * @param deduplicationWindowMs with an idempotency key: how long hosts remember a key, from the first attempt that may
 *     have run
 * @param latencyObjectiveMs a response within this time earns all of a request's value
 * @param deadlineMs how long a client waits, over all attempts
 * @param priorityWeight what a request of one unit is worth, relative to other classes
 * @param lateValue the part of its value, from 0 to 1, that a response between objective and deadline earns
 * @param streaming whether responses are streamed
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double latencyObjectiveMs,
        double deadlineMs,
        double priorityWeight,
        double lateValue,
        boolean streaming) {}
