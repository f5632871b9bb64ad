package caperrudder.api;

/**
 * How gateways can learn of each other's use, and the prices of their actions (WIRE, {@code specifics} and
 * {@code costs}).
 *
 * @param sharedCounters whether shared counters are available
 * @param sharedCounterPrice price of a call to a shared counter
 * @param meterPeriodMs period over which the meter sums a customer's use, in milliseconds; 0 if there is no meter
 * @param postPaid whether the units of a request are an estimate, and the response reports the actual ones
 * @param maxUnits maximum units of a request
 * @param peerMessagesPerSecond messages per second that a gateway accepts from other gateways
 * @param peerMessagePrice price of a message of 256 bytes to another gateway
 * @param healthCheckPrice price of a health check
 * @param crossZonePrice price of an attempt at a host in another zone
 */
public record CoordinationSettings(
        boolean sharedCounters,
        double sharedCounterPrice,
        double meterPeriodMs,
        boolean postPaid,
        double maxUnits,
        double peerMessagesPerSecond,
        double peerMessagePrice,
        double healthCheckPrice,
        double crossZonePrice) {}
