package caperrudder.server.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.Supplier;

/**
 * Header lines of a message as they are read. A line that leaves open where the message ends, or which of two values
 * holds, makes the message malformed: the decoder would otherwise choose one and drop the other, and a receiver that
 * chooses differently finds a second message inside the first (request smuggling).
 *
 * <p>Only lines that the gateway asks for are kept, since a sender can make each line cost many times its own length;
 * the others are checked alike and dropped.
 */
public final class StrictHeaders extends DefaultHttpHeaders {
    /** What a message's lines may hold; far more than those have that occur. */
    public static final int MAX_BYTES = 8 * 1024;

    private static final int CONTENT_LENGTH_DIGITS_MAX = 10; // far more than any message here may have
    private static final int LINE_OVERHEAD_BYTES = 160; // of the objects that hold a line's name and value

    /** Lines that tell of either message's framing and of its connection. */
    private static final List<AsciiString> FRAMING = List.of(
            HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.CONTENT_TYPE,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    private final DefaultHttpHeadersFactory validators;
    private final List<AsciiString> known;
    private final List<AsciiString> singleValued;
    private final HeadMemory.Lease memory; // null where nobody counts
    private int heldBytes;

    private StrictHeaders(
            DefaultHttpHeadersFactory validators,
            List<AsciiString> known,
            List<AsciiString> singleValued,
            HeadMemory.Lease memory) {
        super(validators.getNameValidator(), validators.getValueValidator());
        this.validators = validators;
        this.known = known;
        this.singleValued = singleValued;
        this.memory = memory;
    }

    /**
     * Of requests: each of these headers may stand once, and characters that no header may hold are rejected.
     *
     * @param memory asked for the lease of each head that begins
     */
    public static HttpHeadersFactory ofRequests(List<AsciiString> singleValued, Supplier<HeadMemory.Lease> memory) {
        DefaultHttpHeadersFactory validators =
                DefaultHttpHeadersFactory.headersFactory().withValidation(true);
        return factory(() -> new StrictHeaders(validators, singleValued, singleValued, memory.get()));
    }

    /** Of responses, of which these lines are asked for: one that serves only its reader may hold what it likes. */
    public static HttpHeadersFactory ofResponses(List<AsciiString> known) {
        DefaultHttpHeadersFactory validators =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).withNameValidation(true);
        return factory(() -> new StrictHeaders(validators, known, List.of(), null));
    }

    private static HttpHeadersFactory factory(Supplier<HttpHeaders> headers) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return headers.get();
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return headers.get();
            }
        };
    }

    /** As {@link #add(CharSequence, Object)}. */
    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    /**
     * Adds a line if it is asked for.
     *
     * @throws IllegalArgumentException where the line is ambiguous or malformed; the decoder takes the message for
     *     malformed then
     * @throws TooLongHttpHeaderException where the lines hold more than {@link #MAX_BYTES}
     * @throws HeadMemoryExceededException where the heads of all messages hold as much as they may
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        String text = value.toString();
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            check(isLength(text) && !isFramed(), name);
        } else if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
            check(HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(text) && !isFramed(), name);
        } else if (isIn(singleValued, name)) {
            check(!contains(name), name);
        }
        if (!isIn(known, name) && !isIn(FRAMING, name)) {
            validators.getNameValidator().validateName(name);
            validators.getValueValidator().validate(text);
            return this;
        }
        hold(LINE_OVERHEAD_BYTES + name.length() + text.length());
        return super.add(name, value);
    }

    private void hold(int bytes) {
        heldBytes += bytes;
        if (heldBytes > MAX_BYTES) {
            throw new TooLongHttpHeaderException("header lines hold more than " + MAX_BYTES + " bytes");
        }
        if (memory != null && !memory.tryGrow(bytes)) {
            throw new HeadMemoryExceededException();
        }
    }

    private static boolean isIn(List<AsciiString> names, CharSequence name) {
        for (AsciiString each : names) {
            if (each.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    private boolean isFramed() {
        return contains(HttpHeaderNames.CONTENT_LENGTH) || contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static void check(boolean valid, CharSequence name) {
        if (!valid) {
            throw new IllegalArgumentException("ambiguous or malformed " + name);
        }
    }

    /** Digits alone, and no leading zero: not all receivers read the rest alike. */
    private static boolean isLength(String text) {
        return !text.isEmpty()
                && text.length() <= CONTENT_LENGTH_DIGITS_MAX
                && HeaderValues.isWithin(text, '0', '9')
                && (text.length() == 1 || text.charAt(0) != '0');
    }
}
