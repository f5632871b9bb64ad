package caperrudder.server.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Header lines of a message as they are read. A line that leaves open where the message ends, or which of two values
 * holds, makes the message malformed: the decoder would otherwise choose one and drop the other, and a receiver that
 * chooses differently finds a second message inside the first (request smuggling).
 */
public final class StrictHeaders extends DefaultHttpHeaders {
    private static final int CONTENT_LENGTH_DIGITS_MAX = 10; // far more than any message here may have

    private final List<AsciiString> singleValued;

    private StrictHeaders(DefaultHttpHeadersFactory validators, List<AsciiString> singleValued) {
        super(DefaultHttpHeadersFactory.headersFactory().getNameValidator(), validators.getValueValidator());
        this.singleValued = singleValued;
    }

    /** Of requests: each of these headers may stand once, and characters that no header may hold are rejected. */
    public static HttpHeadersFactory ofRequests(List<AsciiString> singleValued) {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(true), singleValued);
    }

    /** Of responses: a line that serves only its reader, such as a load report, may hold what it likes. */
    public static HttpHeadersFactory ofResponses() {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(false), List.of());
    }

    private static HttpHeadersFactory factory(DefaultHttpHeadersFactory validators, List<AsciiString> singleValued) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new StrictHeaders(validators, singleValued);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    /**
     * Adds a line.
     *
     * @throws IllegalArgumentException where the line is ambiguous or malformed; the decoder takes the message for
     *     malformed then
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            check(isLength(value.toString()) && !isFramed(), name);
        } else if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
            check(HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value.toString()) && !isFramed(), name);
        } else {
            for (AsciiString single : singleValued) {
                check(!single.contentEqualsIgnoreCase(name) || !contains(single), name);
            }
        }
        return super.add(name, value);
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
