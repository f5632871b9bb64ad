package caperrudder.api;

/**
 * What a gateway has measured of one class of requests.
 *
 * @param name name of the class
 * @param weight the class's share of the scheduler's turns, from 0 to 1
 * @param latencyPerUnit average latency of an attempt per unit of its request, in milliseconds
 * @param baseLatencyPerUnit the same on hosts without queues, in milliseconds
 * @param samples number of successful attempts that the latencies are averaged over
 * @param delay smoothed sum of a request's queue delay and attempt latency, in milliseconds
 * @param slope decrease of the delay in milliseconds when the weight increases by 1; 0 if not yet known
 */
public record ClassSnapshot(
        String name,
        double weight,
        double latencyPerUnit,
        double baseLatencyPerUnit,
        int samples,
        double delay,
        double slope) {}
