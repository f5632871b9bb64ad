package caperrudder.api;

/** Where gateways may learn of each other, and what one costs. */
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
