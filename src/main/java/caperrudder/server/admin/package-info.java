/**
 * The admin address of a gateway process: readiness, and metrics as Prometheus reads them (page DEPLOY,
 * docs/on-call.md).
 *
 * <p>Depends on {@code api} and {@code server.runtime}. {@code RequestCounters} belongs to the event loop that serves
 * clients; {@code AdminServer} has a thread of its own, to which only immutable {@code MetricsSnapshot}s pass.
 */
package caperrudder.server.admin;
