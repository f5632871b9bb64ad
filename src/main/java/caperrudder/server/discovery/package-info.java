/**
 * The endpoint list of discovery (page DEPLOY): polled, watched, read piece by piece and handed to an
 * {@link caperrudder.server.discovery.EndpointListener}. {@code DiscoveryClient} decides which connection is followed,
 * when one is hedged and how long to back off; {@code DiscoveryConnection} speaks HTTP; {@code EndpointListReader} and
 * {@code EndpointListParser} read lists within a limit of memory.
 *
 * <p>Depends on {@code api}, {@code server.http}, {@code server.config} for JSON, and {@code server.runtime}. All of it belongs to
 * the event loop, but for {@code EndpointLists}, which programs without one use.
 */
package caperrudder.server.discovery;
