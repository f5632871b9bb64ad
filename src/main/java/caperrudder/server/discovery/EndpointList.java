package caperrudder.server.discovery;

import caperrudder.api.Host;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * A list of hosts in discovery's form, as it was told: of two entries of one host the later one holds.
 *
 * @param version the list's number; -1 where none was told
 * @param full whether it names every host, rather than what has changed since another version
 */
public record EndpointList(long version, boolean full, List<Entry> entries) {
    /** A host with the address at which this api gateway reaches it; null where it is gone or was not told. */
    public record Entry(Host host, InetSocketAddress address) {}

    /** The list takes more memory than there is for it. */
    public static final class TooLong extends java.io.IOException {
        private static final long serialVersionUID = 1L;

        TooLong(String message) {
            super(message);
        }
    }
}
