package caperrudder.api;

public record ClassBook(
        String name, double weight, double latencyPerUnit, double base, int samples, double delay, double slope) {}
