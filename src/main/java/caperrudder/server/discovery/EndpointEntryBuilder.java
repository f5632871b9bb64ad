package caperrudder.server.discovery;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.server.runtime.SocketAddresses;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Builds the entries of an endpoint list one after the other, and counts the memory that they take. Texts that hosts
 * share, such as their zone, are held once. Reused for every entry, so that reading a long list allocates little.
 */
final class EndpointEntryBuilder {
    /**
     * What a host takes of the heap, beside the letters of its names, while a whole list takes the place of another one
     * that names as many: some 700 bytes in the policy and the connection pools, and for the moment 300 for its new
     * entry and in what compares the two. With it 30,000 hosts of which all change every 3 s were borne by a heap of
     * 48 MB, and 160,000 by one of 200 MB.
     */
    static final int HOST_BYTES = 1100;

    static final String NO_ID = "no id";

    private static final int SHARED_TEXT_BYTES = HOST_BYTES / 4; // an entry of the map of shared texts
    private static final int LETTER_BYTES = 2;
    private static final JsonNode MISSING = MissingNode.getInstance();

    private final Map<String, String> sharedTexts = new HashMap<>();
    private long memoryBytes;
    private String fault = "";

    private JsonNode id = MISSING;
    private JsonNode address = MISSING;
    private JsonNode zone = MISSING;
    private JsonNode kind = MISSING;
    private JsonNode cell = MISSING;
    private JsonNode state = MISSING;
    private JsonNode weight = MISSING;
    private JsonNode startedAtMs = MISSING;

    /** Sets a field of the entry; of two fields of one name the later one holds, and unknown ones are ignored. */
    void set(String field, JsonNode value) {
        switch (field) {
            case "id" -> id = value;
            case "addr" -> address = value;
            case "zone" -> zone = value;
            case "kind" -> kind = value;
            case "cell" -> cell = value;
            case "state" -> state = value;
            case "weight" -> weight = value;
            case "started_ms" -> startedAtMs = value;
            default -> {}
        }
    }

    /** Begins the next entry. */
    void clear() {
        fault = "";
        id = MISSING;
        address = MISSING;
        zone = MISSING;
        kind = MISSING;
        cell = MISSING;
        state = MISSING;
        weight = MISSING;
        startedAtMs = MISSING;
    }

    /** The host's id; empty where the entry has none. */
    String id() {
        return id.asText();
    }

    /** What made the entry that was built last unreadable; empty where nothing did. */
    String fault() {
        return fault;
    }

    /** The bytes of heap that all entries take that were built. */
    long memoryBytes() {
        return memoryBytes;
    }

    /** The entries that were built are given up. */
    void forgetMemory() {
        memoryBytes = 0;
    }

    /**
     * The entry, or null where it has no id. An unreadable one must not keep the others from being used, nor may its
     * host get more work on the strength of an earlier list: where it has an id, it is draining.
     */
    EndpointList.Entry build() {
        HostState listedState = HostState.DRAINING;
        InetSocketAddress listedAddress = null;
        try {
            if (id().isEmpty()) {
                throw new IllegalArgumentException(NO_ID);
            }
            HostState readState = readState();
            listedAddress = readState == HostState.GONE ? null : SocketAddresses.parse(address.asText());
            listedState = readState;
        } catch (IllegalArgumentException e) {
            fault = String.valueOf(e.getMessage());
        }
        if (id().isEmpty()) {
            return null;
        }
        memoryBytes += HOST_BYTES + (long) LETTER_BYTES * id().length();
        Host host = new Host(
                id(), share(zone), share(kind), cell.asInt(), listedState, weight.asDouble(1), startedAtMs.asDouble());
        return new EndpointList.Entry(host, listedAddress);
    }

    private HostState readState() {
        return switch (state.asText()) {
            case "ready" -> HostState.RUNNING;
            case "draining" -> HostState.DRAINING;
            case "gone" -> HostState.GONE;
            default -> throw new IllegalArgumentException("unknown host state " + state);
        };
    }

    private String share(JsonNode value) {
        String text = value.asText();
        String shared = sharedTexts.putIfAbsent(text, text);
        if (shared != null) {
            return shared;
        }
        memoryBytes += SHARED_TEXT_BYTES + (long) LETTER_BYTES * text.length();
        return text;
    }
}
