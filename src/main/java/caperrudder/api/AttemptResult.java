package caperrudder.api;

/** How an attempt ended; {@code usedPct} is 0 and {@code trueUnits} is 0 where nothing was told. */
public record AttemptResult(
        String requestId,
        int attempt,
        String host,
        Outcome outcome,
        double latencyMs,
        boolean requestClosed,
        int quotaUsedPercent,
        double trueUnits,
        double[] loadReport) {}
