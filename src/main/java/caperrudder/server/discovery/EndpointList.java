package caperrudder.server.discovery;

import caperrudder.api.Host;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * A list of hosts in discovery's form (page DEPLOY). Of two entries of one host the later one holds. Immutable.
 *
 * @param version the list's number; -1 where none was given
 * @param full whether it names every host, rather than what has changed since another version
 */
public record EndpointList(long version, boolean full, List<Entry> entries) {
    /**
     * One host.
     *
     * @param address where this gateway reaches the host; null where it is gone, or its address is unreadable
     */
    public record Entry(Host host, InetSocketAddress address) {}
}
