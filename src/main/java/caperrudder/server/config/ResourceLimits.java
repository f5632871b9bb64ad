package caperrudder.server.config;

/**
 * What the process may use.
 *
 * @param sockets file descriptors, of all processes of this gateway together
 * @param memoryMb memory in MiB
 * @param connectTimeoutMs after which a connect to a host has failed, in ms
 * @param idleConnectionMs how long a host keeps an idle connection, in ms
 * @param maxOpenRequests requests that may be open at a time; more are rejected
 */
public record ResourceLimits(
        int sockets, int memoryMb, double connectTimeoutMs, double idleConnectionMs, int maxOpenRequests) {}
