package caperrudder.api;

/**
 * How gateways may learn of each other's use, and what that costs (WIRE, {@code specifics} and {@code costs}).
 *
 * @param counter whether there are shared counters
 * @param counterPrice the price of a call to a counter
 * @param meterPeriodMs the period over which a meter adds up a customer's use; 0 where there is no meter
 * @param postPaid whether a request's units are a guess and the true ones come with the response
 * @param maxUnits the most units of one request
 * @param peerMessagesPerSecond the messages that a gateway accepts
 * @param peerMessagePrice the price of a message of 256 bytes
 * @param healthCheckPrice the price of a health check
 * @param crossZonePrice the price of an attempt in another zone
 */
public record Sharing(
        boolean counter,
        double counterPrice,
        double meterPeriodMs,
        boolean postPaid,
        double maxUnits,
        double peerMessagesPerSecond,
        double peerMessagePrice,
        double healthCheckPrice,
        double crossZonePrice) {}
