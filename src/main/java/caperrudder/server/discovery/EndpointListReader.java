package caperrudder.server.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.Closeable;
import java.io.IOException;

/**
 * Reads a list of hosts in discovery's form, UTF-8, piece by piece as it comes: neither its text nor a tree of it is
 * held, but for its entries. Whoever feeds it decides how long one piece is and so how long one feeding takes. Not for
 * several threads.
 */
public final class EndpointListReader implements Closeable {
    private static final int TEXT_MAX = 1 << 20; // letters of one string, of whatever field
    // Names are not kept beyond a list: of a list that names its hosts in fields there would be no end of them.
    private static final JsonFactory FACTORY = new JsonFactoryBuilder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxStringLength(TEXT_MAX).build())
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private final EndpointListParser builder;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final long limitBytes;
    private long came; // bytes
    private long announced; // bytes; 0 where nothing was said

    /**
     * A reader of one list.
     *
     * @param limitBytes what the list may take of the heap, and also how long its text may be
     */
    public EndpointListReader(long limitBytes) {
        this.limitBytes = limitBytes;
        this.builder = new EndpointListParser(limitBytes);
        try {
            this.parser = FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // it opens nothing
        }
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** What a list may take of the heap of this process. */
    public static long limitBytes() {
        return EndpointListParser.limitBytes(Runtime.getRuntime().maxMemory());
    }

    /**
     * Says how long the whole text will be, where that is known.
     *
     * @throws HostList.TooLong where that is more than the limit
     */
    public void announce(long bytes) throws EndpointList.TooLong {
        announced = bytes;
        if (bytes > limitBytes) {
            throw tooLong();
        }
    }

    private EndpointList.TooLong tooLong() {
        return refused("its text alone is longer than the " + limitBytes + " bytes that memory allows for it");
    }

    private EndpointList.TooLong refused(String why) {
        String size = announced > 0
                ? "a list of " + announced + " bytes is rejected: "
                : "a list is rejected, of which " + came + " bytes came: ";
        return new EndpointList.TooLong(size + why);
    }

    /**
     * Takes the next piece of the text; the array is the caller's again when this returns.
     *
     * @throws HostList.TooLong where the list takes more than the limit, with what of it has come
     * @throws IOException where the text is no JSON
     */
    public void feed(byte[] text, int from, int length) throws IOException {
        if (builder.isWhole() || length == 0) {
            return; // what stands behind the list is not looked at
        }
        came += length;
        feeder.feedInput(text, from, from + length);
        try {
            drain();
        } catch (EndpointList.TooLong e) {
            throw refused(e.getMessage());
        }
        if (came > limitBytes) {
            throw tooLong();
        }
    }

    private void drain() throws IOException {
        JsonToken token = parser.nextToken();
        while (token != null && token != JsonToken.NOT_AVAILABLE) {
            builder.take(parser, token);
            token = builder.isWhole() ? null : parser.nextToken();
        }
    }

    /**
     * The list, whose text has ended.
     *
     * @throws IOException where the text ends inside the list, or has no version or no hosts in it
     */
    public EndpointList finish() throws IOException {
        if (!builder.isWhole()) {
            feeder.endOfInput();
            drain();
        }
        EndpointList list = builder.isWhole() ? builder.build() : null;
        if (list == null || !builder.isVersioned()) {
            throw new IOException(
                    builder.isWhole() || came == 0
                            ? "a list without a version or without hosts"
                            : "the text ends inside a list");
        }
        return list;
    }

    /** Gives back what the parser holds; a reader that is dropped unfinished needs it, too. */
    @Override
    public void close() {
        try {
            parser.close();
        } catch (IOException e) {
            throw new IllegalStateException(e); // there is nothing to close but buffers
        }
    }
}
