package caperrudder.api;

/**
 * The hosts as a gateway sees them.
 *
 * @param size how many its list holds
 * @param unhealthy how many of those it avoids now
 */
public record ClusterHealth(int size, int unhealthy) {}
