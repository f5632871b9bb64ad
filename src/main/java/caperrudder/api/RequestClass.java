package caperrudder.api;

public record RequestClass(
        String name,
        Effect effect,
        Scope scope,
        double windowMs,
        double aimMs,
        double deadlineMs,
        double worth,
        double lateValue,
        boolean streaming) {}
