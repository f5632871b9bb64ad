package caperrudder.api;

/**
 * What has been learned of one class of requests.
 *
 * @param name the class
 * @param weight its weight at the turns of the queues
 * @param latencyPerUnit the latency of one unit, in milliseconds
 * @param baseLatencyPerUnit that of a lightly loaded host, in milliseconds
 * @param samples how many responses the latencies rest on
 * @param delay the mean time in the queue, in milliseconds
 * @param slope the time in the queue that is lost for each unit of weight gained, in milliseconds; 0 where unknown
 */
public record ClassSnapshot(
        String name,
        double weight,
        double latencyPerUnit,
        double baseLatencyPerUnit,
        int samples,
        double delay,
        double slope) {}
