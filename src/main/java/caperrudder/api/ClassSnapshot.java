package caperrudder.api;

/**
 * What a gateway has measured of one class of requests.
 *
 * @param name name of the class
 * @param weight the class's share of the scheduler's turns, from 0 to 1
 * @param latencyPerUnitMs average latency of an attempt per unit of its request, in milliseconds
 * @param baseLatencyPerUnitMs the same on hosts without queues, in milliseconds
 * @param latencySampleCount number of successful attempts that the latencies are averaged over
 * @param delayMs smoothed sum of a request's queue delay and attempt latency, in milliseconds
 * @param delaySlopeMs decrease of the delay in milliseconds when the weight increases by 1; 0 if not yet known
 */
public record ClassSnapshot(
        String name,
        double weight,
        double latencyPerUnitMs,
        double baseLatencyPerUnitMs,
        int latencySampleCount,
        double delayMs,
        double delaySlopeMs) {}
