package caperrudder.api;

public record ClassSnapshot(
        String name,
        double weight,
        double latencyPerUnit,
        double baseLatencyPerUnit,
        int samples,
        double delay,
        double slope) {}
