package caperrudder.api;

/**
 * A host as discovery lists it. What a gateway makes of it is an endpoint of the load balancing.
 *
 * @param id unique in the list, and the same for as long as the host lives
 * @param zone the zone; empty where there are no zones
 * @param kind the kind of machine
 * @param cell the cell, within which hosts may share a memory of idempotency keys
 * @param state whether it may be sent requests
 * @param weight its size relative to other hosts; 1 where sizes are not given
 * @param startedMs its last start, in milliseconds since 1970; 0 where that was long ago or is unknown
 */
public record Host(String id, String zone, String kind, int cell, HostState state, double weight, double startedMs) {}
