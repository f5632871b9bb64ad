package caperrudder.api;

/**
 * The number of hosts that a gateway knows and how many of them it avoids.
 *
 * @param size number of listed hosts
 * @param unhealthy number of listed hosts that the gateway avoids now, because of their state or of outlier detection
 */
public record ClusterHealth(int size, int unhealthy) {}
