package caperrudder.api;

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
