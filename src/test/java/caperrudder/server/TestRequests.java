package caperrudder.server;

import java.nio.charset.StandardCharsets;

/** Requests of the classes of {@link TestGateways#config}, and plain responses. */
public final class TestRequests {
    private TestRequests() {}

    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A 200 response. */
    public static byte[] ok(String body) {
        return bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** A request of the idempotent class. */
    public static String view(String id, int expiresMs) {
        return "GET /view/" + id + "?z=3 HTTP/1.1\r\nHost: h\r\n" + headers(id, expiresMs) + "\r\n";
    }

    /** A request of the class with an idempotency key. */
    public static String order(String id, String body) {
        return "POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers(id, GatewaySocketTest.TIMEOUT_MS)
                + "Idempotency-Key: key-" + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The headers that a request of any class has. */
    public static String headers(String id, int expiresMs) {
        return "X-Trace-Id: " + id + "\r\nX-Plan: free\r\nX-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: " + expiresMs
                + "\r\nX-Quota: units=1,spread=1,first=0\r\n";
    }
}
