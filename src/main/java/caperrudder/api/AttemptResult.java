package caperrudder.api;

/**
 * The result of an attempt that has ended.
 *
 * @param requestId id of the request
 * @param attemptNumber number of the attempt within the request, counted from 0
 * @param hostId id of the host
 * @param outcome how the attempt ended
 * @param latencyMs duration of the attempt in milliseconds
 * @param requestClosed whether the request has ended because the client has received a response or disconnected
 * @param quotaUsedPercentPlusOne 1 + the customer's metered use in percent of its quota, so that 1 means no use; 0 if
 *     the response does not report it
 * @param actualUnits the units that the request actually used; 0 if the response does not report them
 * @param loadReport the host's load report, with its values in the order of {@link Settings#loadReportFields()}; empty
 *     if there is none. Must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // results are never compared
public record AttemptResult(
        String requestId,
        int attemptNumber,
        String hostId,
        Outcome outcome,
        double latencyMs,
        boolean requestClosed,
        int quotaUsedPercentPlusOne,
        double actualUnits,
        double[] loadReport) {}
