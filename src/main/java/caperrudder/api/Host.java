package caperrudder.api;

/**
 * A host as discovery lists it. The load balancer keeps its own state of a host in an endpoint.
 *
 * @param id unique in the list, and constant for the lifetime of the host
 * @param zone name of the zone; empty if there are no zones
 * @param kind the machine type
 * @param cell number of the cell; the hosts of a cell may share their record of idempotency keys
 * @param state whether the host accepts requests
 * @param weight capacity relative to other hosts; 1 if discovery does not give it
 * @param startedAtMs time of the last start in milliseconds since 1970; 0 if it is unknown or long ago
 */
public record Host(String id, String zone, String kind, int cell, HostState state, double weight, double startedAtMs) {}
