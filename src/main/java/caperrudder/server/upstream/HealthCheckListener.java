package caperrudder.server.upstream;

import caperrudder.api.Outcome;

/** Is notified of how health checks end; on the event loop. */
public interface HealthCheckListener {
    /** {@code report}: the values of the host's load report; empty where it sent none. */
    void healthCheckEnded(String host, Outcome outcome, double latencyMs, double[] report);
}
