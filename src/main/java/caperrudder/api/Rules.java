package caperrudder.api;

public record Rules(
        double responseSlackMs,
        double drainGraceMs,
        double overloadMultiple,
        double overloadWindowMs,
        double coldStartCapacity,
        double slowStartMs,
        double pollWithinMs) {}
