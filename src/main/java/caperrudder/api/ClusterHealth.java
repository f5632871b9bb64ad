package caperrudder.api;

/** The hosts as a gateway judges them: how many its list holds, and how many of those it avoids now. */
public record ClusterHealth(int size, int unhealthy) {}
