package caperrudder.api;

public record Host(String id, String zone, String kind, int cell, HostState state, double weight, double startedMs) {}
