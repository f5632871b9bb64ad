package caperrudder.server.discovery;

import caperrudder.api.Host;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * The hosts of an endpoint list, read as {@link DiscoveryClient} reads the answers to its polls; for programs that have
 * no event loop.
 *
 * @param version the list's number
 * @param full whether it names every host
 */
public record EndpointLists(List<Host> hosts, long version, boolean full) {

    /**
     * Reads a list slice by slice, as the event loop does.
     *
     * @throws IOException where the text is no list, or one that memory does not hold; an entry that can't be read costs
     *     that entry alone
     */
    public static EndpointLists read(InputStream text) throws IOException {
        byte[] slice = new byte[DiscoveryConnection.SLICE_BYTES];
        try (EndpointListReader reader = new EndpointListReader(EndpointListParser.maxBytes())) {
            for (int length = text.read(slice); length >= 0; length = text.read(slice)) {
                reader.feed(slice, 0, length);
            }
            EndpointList list = reader.finish();
            List<Host> hosts = new ArrayList<>(list.entries().size());
            list.entries().forEach(entry -> hosts.add(entry.host()));
            return new EndpointLists(hosts, list.version(), list.full());
        }
    }
}
