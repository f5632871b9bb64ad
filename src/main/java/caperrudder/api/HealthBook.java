package caperrudder.api;

/** The health of a host, for one class or, where its name is empty, for all. */
public record HealthBook(String host, String requestClass, double slow, double at, int failures) {}
