/**
 * Connections to hosts: pools, one exchange at a time on a connection, upload of bodies, reading of responses, health
 * checks and load reports. Knows of the rest of the gateway only who listens to an exchange
 * ({@link caperrudder.server.upstream.UpstreamExchange}) or a health check, and depends on {@code server.discovery} for
 * the endpoint list, {@code server.http}, {@code server.runtime} and {@code api}. Everything runs on the one event loop.
 */
package caperrudder.server.upstream;
