package caperrudder.api;

/**
 * The number of hosts that a gateway knows and how many of them it avoids.
 *
 * @param hostCount number of listed hosts
 * @param unhealthyHostCount number of listed hosts that the gateway avoids now, because of their state or of outlier
 *     detection
 */
public record ClusterHealth(int hostCount, int unhealthyHostCount) {}
