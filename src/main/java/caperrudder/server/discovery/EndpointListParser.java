package caperrudder.server.discovery;

import caperrudder.server.config.JsonTreeReader;
import caperrudder.server.runtime.Log;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Builds an endpoint list from the tokens of a JSON parser as they come. It keeps the entries alone and rejects a list
 * that takes more than its limit of memory. An entry that can't be read costs that entry alone. Not for several
 * threads.
 */
public final class EndpointListParser {
    private static final Log LOG = Log.of("discovery");
    private static final String ENTRIES = "servers";
    /** What stays of the heap for the program itself and for the messages on their way through it. */
    private static final long HEAP_RESERVE_BYTES = 14 << 20;

    private static final long MIN_BYTES = 1 << 20;
    private static final int LOGGED_MAX = 8; // entries of one list that are logged because they can't be read
    private static final long NO_VERSION = -1;

    /** Where in the text the next token stands. */
    private enum Position {
        BEFORE_LIST,
        IN_LIST,
        IN_ENTRIES,
        IN_ENTRY,
        AFTER_LIST
    }

    private final long maxBytes;
    private final EndpointEntryBuilder entry = new EndpointEntryBuilder();
    private List<EndpointList.Entry> entries; // null while the list has no array of them
    private JsonNode version = MissingNode.getInstance();
    private boolean full;
    private Position position = Position.BEFORE_LIST;
    private int skippedDepth; // open brackets around what is of no interest
    private String field = "";
    private int unreadableEntries;

    /** A parser of one list that may take {@code maxBytes} of the heap. */
    EndpointListParser(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** How many bytes a list may take of the heap of this process. */
    public static long maxBytes() {
        return maxBytes(Runtime.getRuntime().maxMemory());
    }

    /** How many bytes a list may take of a heap of {@code heapBytes}. */
    static long maxBytes(long heapBytes) {
        return Math.max(MIN_BYTES, heapBytes - HEAP_RESERVE_BYTES);
    }

    /**
     * Parses the value at which the parser stands, to its end; empty where it holds no array of hosts.
     *
     * @throws EndpointListTooLongException where the list takes more than {@code maxBytes} of the heap
     * @throws IOException where the text can't be read or is no JSON
     */
    public static Optional<EndpointList> parse(JsonParser at, long maxBytes) throws IOException {
        EndpointListParser list = new EndpointListParser(maxBytes);
        JsonToken token = at.hasCurrentToken() ? at.currentToken() : at.nextToken();
        while (token != null) {
            list.accept(at, token);
            token = list.isComplete() ? null : at.nextToken();
        }
        return list.build();
    }

    /** Whether the list's last bracket has come. */
    boolean isComplete() {
        return position == Position.AFTER_LIST;
    }

    boolean hasVersion() {
        return version.isIntegralNumber();
    }

    /** The list as far as it has come; empty where it holds no array of hosts. */
    Optional<EndpointList> build() {
        if (unreadableEntries > LOGGED_MAX) {
            LOG.warn("further unreadable entries", "count", unreadableEntries - LOGGED_MAX);
        }
        return entries == null
                ? Optional.empty()
                : Optional.of(new EndpointList(Math.max(NO_VERSION, version.asLong(NO_VERSION)), full, entries));
    }

    /** Takes the token at which {@code parser} stands. */
    void accept(JsonParser parser, JsonToken token) throws IOException {
        if (skippedDepth > 0) {
            skip(token);
        } else if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else {
            switch (position) {
                case BEFORE_LIST -> beginList(token);
                case IN_LIST -> acceptInList(parser, token);
                case IN_ENTRIES -> acceptInEntries(token);
                case IN_ENTRY -> acceptInEntry(parser, token);
                case AFTER_LIST -> {}
            }
        }
    }

    private void skip(JsonToken token) {
        if (token.isStructStart()) {
            skippedDepth++;
        } else if (token.isStructEnd()) {
            skippedDepth--;
        }
        if (skippedDepth == 0 && position == Position.BEFORE_LIST) {
            position = Position.AFTER_LIST;
        }
    }

    private void beginList(JsonToken token) {
        if (token == JsonToken.START_OBJECT) {
            position = Position.IN_LIST;
        } else if (token.isStructStart()) {
            skippedDepth = 1;
        } else {
            position = Position.AFTER_LIST;
        }
    }

    private void acceptInList(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.END_OBJECT) {
            position = Position.AFTER_LIST;
            return;
        }
        JsonNode value = scalar(parser, token);
        switch (field) {
            case ENTRIES -> beginEntries(token);
            case "version" -> version = value;
            case "full" -> full = value.asBoolean();
            default -> {}
        }
    }

    /** Of two fields of one name the later one holds. */
    private void beginEntries(JsonToken token) {
        entry.forgetMemory();
        entries = null;
        if (token == JsonToken.START_ARRAY) {
            entries = new ArrayList<>();
            position = Position.IN_ENTRIES;
            skippedDepth = 0;
        }
    }

    private void acceptInEntries(JsonToken token) {
        if (token == JsonToken.END_ARRAY) {
            position = Position.IN_LIST;
        } else if (token == JsonToken.START_OBJECT) {
            position = Position.IN_ENTRY;
        } else {
            skippedDepth = token.isStructStart() ? 1 : 0;
            logUnreadable("", EndpointEntryBuilder.NO_ID);
        }
    }

    private void acceptInEntry(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.END_OBJECT) {
            position = Position.IN_ENTRIES;
            addEntry();
        } else {
            entry.set(field, scalar(parser, token));
        }
    }

    /** A value with brackets is none that is of interest, and what stands in them is skipped. */
    private JsonNode scalar(JsonParser parser, JsonToken token) throws IOException {
        if (token.isStructStart()) {
            skippedDepth = 1;
            return MissingNode.getInstance();
        }
        return JsonTreeReader.scalar(parser, token);
    }

    private void addEntry() throws EndpointListTooLongException {
        EndpointList.Entry added = entry.build();
        if (!entry.fault().isEmpty()) {
            logUnreadable(entry.id(), entry.fault());
        }
        entry.clear();
        if (added == null) {
            return;
        }
        if (entry.memoryBytes() > maxBytes) {
            throw new EndpointListTooLongException(
                    "its first " + entries.size() + " hosts fill the " + maxBytes + " bytes that memory allows for it");
        }
        entries.add(added);
    }

    private void logUnreadable(String id, String fault) {
        if (unreadableEntries < LOGGED_MAX) {
            LOG.warn("unreadable entry", "host", id, "fault", fault);
        }
        unreadableEntries++;
    }
}
