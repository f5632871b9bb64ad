package caperrudder.api;

/**
 * How an attempt ended.
 *
 * @param requestId the request
 * @param attempt its number among the request's attempts, from 0
 * @param host the host's id
 * @param outcome how it ended
 * @param latencyMs how long it took
 * @param requestClosed whether the client has its answer, or is gone
 * @param quotaUsedPercent the customer's metered use in percent of its rate and plus 1; 0 where none was reported
 * @param trueUnits the units that the request really had; 0 where none were reported
 * @param loadReport the values of the host's load report, in the order of the settings; empty where none came. Not to
 *     be changed
 */
@SuppressWarnings("ArrayRecordComponent") // a result is read once and never compared
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
