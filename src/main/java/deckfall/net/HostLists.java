package deckfall.net;

import com.fasterxml.jackson.databind.JsonNode;
import deckfall.Gateway.Host;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** A list of hosts in discovery's form, read as {@link Discovery} reads what it is answered. */
public record HostLists(List<Host> hosts, long version, boolean full) {

    /** Throws IOException where the text is no JSON, as the watch does; an entry that can't be read costs that entry. */
    public static HostLists read(InputStream text) throws IOException {
        JsonNode list = JsonTree.read(text);
        List<Discovery.Entry> entries = Discovery.entries(list);
        List<Host> hosts = new ArrayList<>(entries.size());
        entries.forEach(e -> hosts.add(e.host()));
        return new HostLists(hosts, list.path("version").asLong(), list.path("full").asBoolean());
    }
}
