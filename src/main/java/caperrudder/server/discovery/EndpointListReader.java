package caperrudder.server.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.Closeable;
import java.io.IOException;
import java.util.Optional;

/**
 * Reads an endpoint list, UTF-8, piece by piece as it comes: neither its text nor a tree of it is held, only its
 * entries. The caller decides how long one piece is, and so how long one call of {@link #feed} takes. Not for several
 * threads.
 */
public final class EndpointListReader implements Closeable {
    private static final int STRING_MAX_CHARS = 1 << 20; // of one string, of whatever field
    // Field names are not interned: of a list that names its hosts in fields there would be no end of them.
    private static final JsonFactory FACTORY = new JsonFactoryBuilder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxStringLength(STRING_MAX_CHARS)
                    .build())
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private final EndpointListParser list;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final long maxBytes;
    private long receivedBytes;
    private long announcedBytes; // 0 where none were

    /**
     * A reader of one list.
     *
     * @param maxBytes what the list may take of the heap, and also how long its text may be
     */
    public EndpointListReader(long maxBytes) {
        this.maxBytes = maxBytes;
        this.list = new EndpointListParser(maxBytes);
        try {
            this.parser = FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // it opens nothing
        }
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Says how long the whole text will be, where that is known.
     *
     * @throws EndpointListTooLongException where that is more than the limit
     */
    public void announce(long bytes) throws EndpointListTooLongException {
        announcedBytes = bytes;
        if (bytes > maxBytes) {
            throw textTooLong();
        }
    }

    private EndpointListTooLongException textTooLong() {
        return rejected("its text alone is longer than the " + maxBytes + " bytes that memory allows for it");
    }

    private EndpointListTooLongException rejected(String reason) {
        String size = announcedBytes > 0
                ? "a list of " + announcedBytes + " bytes is rejected: "
                : "a list is rejected, of which " + receivedBytes + " bytes came: ";
        return new EndpointListTooLongException(size + reason);
    }

    /**
     * Takes the next piece of the text; the array is the caller's again when this returns.
     *
     * @throws EndpointListTooLongException where the list takes more than the limit, with what of it has come
     * @throws IOException where the text is no JSON
     */
    public void feed(byte[] text, int from, int length) throws IOException {
        if (list.isComplete() || length == 0) {
            return; // what stands behind the list is not looked at
        }
        receivedBytes += length;
        feeder.feedInput(text, from, from + length);
        try {
            parseReceived();
        } catch (EndpointListTooLongException e) {
            throw rejected(e.getMessage());
        }
        if (receivedBytes > maxBytes) {
            throw textTooLong();
        }
    }

    private void parseReceived() throws IOException {
        JsonToken token = parser.nextToken();
        while (token != null && token != JsonToken.NOT_AVAILABLE) {
            list.accept(parser, token);
            token = list.isComplete() ? null : parser.nextToken();
        }
    }

    /**
     * The list, whose text has ended.
     *
     * @throws IOException where the text ends inside the list, or has no version or no hosts in it
     */
    public EndpointList finish() throws IOException {
        if (!list.isComplete()) {
            feeder.endOfInput();
            parseReceived();
        }
        Optional<EndpointList> built = list.isComplete() ? list.build() : Optional.empty();
        if (built.isPresent() && list.hasVersion()) {
            return built.get();
        }
        throw new IOException(
                list.isComplete() || receivedBytes == 0
                        ? "a list without a version or without hosts"
                        : "the text ends inside a list");
    }

    /** Returns what the parser holds; to be called also for a list that is given up. */
    @Override
    public void close() {
        try {
            parser.close();
        } catch (IOException e) {
            throw new IllegalStateException(e); // there is nothing to close but buffers
        }
    }
}
