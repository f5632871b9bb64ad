package caperrudder.api;

/** How an attempt ended; {@code usedPct} is 0 and {@code trueUnits} is 0 where nothing was told. */
public record AttemptResult(
        String id,
        int attempt,
        String host,
        Outcome outcome,
        double latencyMs,
        boolean closed,
        int usedPct,
        double trueUnits,
        double[] report) {}
