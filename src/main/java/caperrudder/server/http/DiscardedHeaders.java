package caperrudder.server.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** The lines behind a chunked body (trailers), which nobody asks for: checked, and kept nowhere. */
public final class DiscardedHeaders extends DefaultHttpHeaders {
    private static final DefaultHttpHeadersFactory VALIDATORS = DefaultHttpHeadersFactory.trailersFactory();

    private DiscardedHeaders() {
        super(VALIDATORS.getNameValidator(), VALIDATORS.getValueValidator());
    }

    /** For a decoder's trailers. */
    public static HttpHeadersFactory factory() {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new DiscardedHeaders();
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new DiscardedHeaders();
            }
        };
    }

    /** As {@link #add(CharSequence, Object)}. */
    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    /**
     * Checks a line.
     *
     * @throws IllegalArgumentException where the line is malformed; the decoder takes the message for malformed then
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        VALIDATORS.getNameValidator().validateName(name);
        VALIDATORS.getValueValidator().validate(value.toString());
        return this;
    }
}
