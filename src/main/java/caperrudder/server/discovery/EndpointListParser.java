package caperrudder.server.discovery;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.server.config.JsonTreeReader;
import caperrudder.server.runtime.Log;
import caperrudder.server.runtime.SocketAddresses;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Puts a list of hosts together from a parser's tokens as they come. It keeps the entries alone, in which texts that
 * hosts share are shared, and refuses what takes more than its limit of memory.
 */
public final class EndpointListParser {
    private static final Log LOG = Log.of("discovery");
    static final String LIST = "servers";
    /**
     * What a host takes of the heap, beside the letters of its names, while a whole list takes the place of another
     * one that names as many: some 700 bytes in the module and the pools, and for the moment 300 for its new entry and
     * in what compares the two. With it 30,000 hosts of which all change every 3 s were borne by a heap of 48 MB, and
     * 160,000 by one of 200 MB.
     */
    static final int HOST_BYTES = 1100;

    private static final long HEAP_RESERVE_BYTES = 14 << 20; // for the program itself and what is on its way through
    private static final long LEAST_BYTES = 1 << 20;
    private static final int LETTER_BYTES = 2;
    private static final int NOTED_MAX = 8; // entries of one list that are logged because they can't be read
    private static final long NO_VERSION = -1;

    /** Where in the text the next token stands. */
    private enum Place {
        BEFORE,
        LIST,
        SERVERS,
        ENTRY,
        AFTER
    }

    private final long limitBytes;
    private final Map<String, String> shared = new HashMap<>();
    private List<EndpointList.Entry> entries; // null where no array of them was told
    private JsonNode version = MissingNode.getInstance();
    private boolean full;
    private Place place = Place.BEFORE;
    private int skipped; // brackets that are open around what is of no interest
    private String field = "";
    private long bytes; // what the entries take
    private int noted;

    private JsonNode id;
    private JsonNode address;
    private JsonNode zone;
    private JsonNode kind;
    private JsonNode cell;
    private JsonNode state;
    private JsonNode weight;
    private JsonNode startedMs;

    /** {@code limitBytes}: of the heap, that may be taken. */
    EndpointListParser(long limitBytes) {
        this.limitBytes = limitBytes;
        clearEntry();
    }

    /** What a list may take of a heap of that many bytes. */
    static long limitBytes(long heapBytes) {
        return Math.max(LEAST_BYTES, heapBytes - HEAP_RESERVE_BYTES);
    }

    /** Reads the value at which the parser stands, to its end; null where it holds no array of hosts. */
    public static EndpointList read(JsonParser at, long limitBytes) throws IOException {
        EndpointListParser builder = new EndpointListParser(limitBytes);
        JsonToken token = at.hasCurrentToken() ? at.currentToken() : at.nextToken();
        for (; token != null; token = at.nextToken()) {
            builder.take(at, token);
            if (builder.isWhole()) {
                break;
            }
        }
        return builder.build();
    }

    /** Whether the list's last bracket has come. */
    boolean isWhole() {
        return place == Place.AFTER;
    }

    boolean isVersioned() {
        return version.isIntegralNumber();
    }

    int size() {
        return entries == null ? 0 : entries.size();
    }

    /** Null where no array of hosts was told. */
    EndpointList build() {
        if (noted > NOTED_MAX) {
            LOG.warn("further unreadable entries", "count", noted - NOTED_MAX);
        }
        return entries == null
                ? null
                : new EndpointList(Math.max(NO_VERSION, version.asLong(NO_VERSION)), full, entries);
    }

    void take(JsonParser parser, JsonToken token) throws IOException {
        if (skipped > 0) {
            skipped += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            if (skipped == 0 && place == Place.BEFORE) {
                place = Place.AFTER;
            }
        } else if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else {
            switch (place) {
                case BEFORE -> begin(token);
                case LIST -> ofList(parser, token);
                case SERVERS -> ofServers(token);
                case ENTRY -> ofEntry(parser, token);
                case AFTER -> {}
            }
        }
    }

    private void begin(JsonToken token) {
        if (token == JsonToken.START_OBJECT) {
            place = Place.LIST;
        } else if (token.isStructStart()) {
            skipped = 1;
        } else {
            place = Place.AFTER;
        }
    }

    private void ofList(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.END_OBJECT) {
            place = Place.AFTER;
            return;
        }
        JsonNode value = scalar(parser, token);
        switch (field) {
            case LIST -> {
                bytes = 0;
                entries = null; // of two fields of one name the later one holds
                if (token == JsonToken.START_ARRAY) {
                    entries = new ArrayList<>();
                    place = Place.SERVERS;
                    skipped = 0;
                }
            }
            case "version" -> version = value;
            case "full" -> full = value.asBoolean();
            default -> {}
        }
    }

    private void ofServers(JsonToken token) {
        if (token == JsonToken.END_ARRAY) {
            place = Place.LIST;
        } else if (token == JsonToken.START_OBJECT) {
            place = Place.ENTRY;
        } else {
            skipped = token.isStructStart() ? 1 : 0;
            note("", "no id");
        }
    }

    private void ofEntry(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.END_OBJECT) {
            place = Place.SERVERS;
            add();
            clearEntry();
            return;
        }
        JsonNode value = scalar(parser, token);
        switch (field) {
            case "id" -> id = value;
            case "addr" -> address = value;
            case "zone" -> zone = value;
            case "kind" -> kind = value;
            case "cell" -> cell = value;
            case "state" -> state = value;
            case "weight" -> weight = value;
            case "started_ms" -> startedMs = value;
            default -> {}
        }
    }

    /** What has brackets is no value that is of interest, and what is in them is passed over. */
    private JsonNode scalar(JsonParser parser, JsonToken token) throws IOException {
        if (token.isStructStart()) {
            skipped = 1;
            return MissingNode.getInstance();
        }
        return JsonTreeReader.scalar(parser, token);
    }

    private void clearEntry() {
        id = MissingNode.getInstance();
        address = id;
        zone = id;
        kind = id;
        cell = id;
        state = id;
        weight = id;
        startedMs = id;
    }

    /**
     * One that can't be read must not keep the others from being heard, nor may its host get more work on the strength
     * of what was told before: where it has a name, it drains.
     */
    private void add() throws EndpointList.TooLong {
        String name = id.asText();
        HostState heard = HostState.DRAINING;
        InetSocketAddress reached = null;
        try {
            if (name.isEmpty()) {
                throw new IllegalArgumentException("no id");
            }
            HostState told = stateOf(state);
            reached = told == HostState.GONE ? null : SocketAddresses.parse(address.asText());
            heard = told;
        } catch (IllegalArgumentException bad) {
            note(name, bad.getMessage());
        }
        if (name.isEmpty()) {
            return;
        }
        bytes += HOST_BYTES + (long) LETTER_BYTES * name.length();
        Host host =
                new Host(name, share(zone), share(kind), cell.asInt(), heard, weight.asDouble(1), startedMs.asDouble());
        if (bytes > limitBytes) {
            throw new EndpointList.TooLong("its first " + entries.size() + " hosts fill the " + limitBytes
                    + " bytes that memory allows for it");
        }
        entries.add(new EndpointList.Entry(host, reached));
    }

    private static HostState stateOf(JsonNode told) {
        return switch (told.asText()) {
            case "ready" -> HostState.RUNNING;
            case "draining" -> HostState.DRAINING;
            case "gone" -> HostState.GONE;
            default -> throw new IllegalArgumentException("unknown host state " + told);
        };
    }

    private String share(JsonNode value) {
        String text = value.asText();
        String same = shared.putIfAbsent(text, text);
        if (same == null) {
            bytes += HOST_BYTES / 4 + (long) LETTER_BYTES * text.length();
        }
        return same == null ? text : same;
    }

    private void note(String name, String fault) {
        if (noted++ < NOTED_MAX) {
            LOG.warn("unreadable entry", "host", name, "fault", fault);
        }
    }
}
