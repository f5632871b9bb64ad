package caperrudder.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP message as it came over a socket; header names are in lower case. */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record HttpMessage(String start, Map<String, String> headers, byte[] body) {
    private static final String HEAD_END = "\r\n\r\n";

    /** The next message, or null where the connection ends before or inside it. */
    public static HttpMessage read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith(HEAD_END)) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n", 0);
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new HttpMessage(lines[0], headers, body);
    }

    public int status() {
        return Integer.parseInt(start.split(" ", -1)[1]);
    }

    /** The value of a header, or null. */
    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** The body. */
    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }
}
