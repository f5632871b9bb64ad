package caperrudder.server.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.AsciiString;
import java.util.List;

/** The names of the request headers (page PROTOCOL). */
public final class RequestHeaders {
    /** The request's id, fresh on every request. */
    public static final AsciiString TRACE_ID = AsciiString.cached("X-Trace-Id");

    /** The customer's plan, by its name in the settings. */
    public static final AsciiString PLAN = AsciiString.cached("X-Plan");

    /** The customer, as 16 hex digits. */
    public static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");

    /** For how many whole milliseconds the sender waits for the response. */
    public static final AsciiString EXPIRES_IN_MS = AsciiString.cached("X-Expires-In-Ms");

    /** The units that the request takes and the customer's replica set. */
    public static final AsciiString QUOTA = AsciiString.cached("X-Quota");

    /** Marks a retry by the client. */
    public static final AsciiString CLIENT_RETRY = AsciiString.cached("X-Second-Try");

    /** The idempotency key of a request of a keyed class. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");

    /** Each of these may stand once in a request. */
    public static final List<AsciiString> SINGLE_VALUED = List.of(
            HttpHeaderNames.HOST, TRACE_ID, PLAN, CUSTOMER, EXPIRES_IN_MS, QUOTA, CLIENT_RETRY, IDEMPOTENCY_KEY);

    private RequestHeaders() {}
}
