package caperrudder.server.discovery;

import caperrudder.api.Host;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** A list of hosts in discovery's form, read as {@link DiscoveryClient} reads what it is answered. */
public record EndpointLists(List<Host> hosts, long version, boolean full) {

    /**
     * Reads slice by slice, as the loop does.
     *
     * @throws IOException where the text is no list, or one that memory does not hold; an entry that can't be read
     *     costs that entry alone
     */
    public static EndpointLists read(InputStream text) throws IOException {
        byte[] slice = new byte[DiscoveryClient.SLICE_BYTES];
        try (EndpointListReader reader = new EndpointListReader(EndpointListReader.limitBytes())) {
            for (int length = text.read(slice); length >= 0; length = text.read(slice)) {
                reader.feed(slice, 0, length);
            }
            EndpointList list = reader.finish();
            List<Host> hosts = new ArrayList<>(list.entries().size());
            list.entries().forEach(e -> hosts.add(e.host()));
            return new EndpointLists(hosts, list.version(), list.full());
        }
    }
}
