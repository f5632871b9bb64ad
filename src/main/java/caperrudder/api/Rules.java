package caperrudder.api;

public record Rules(
        double answerSlackMs,
        double drainGraceMs,
        double fallMultiple,
        double fallMs,
        double coldFrom,
        double warmWithinMs,
        double askWithinMs) {}
