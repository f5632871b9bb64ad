package caperrudder.server.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import caperrudder.server.TestGateways;
import caperrudder.server.config.GatewayConfig;
import caperrudder.server.config.JsonTreeReader;
import caperrudder.server.runtime.SocketAddresses;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.management.ThreadMXBean;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What is read in pieces is what a tree of the whole text holds. */
class EndpointListReaderTest {
    private static final long ROOMY = 1L << 30;
    private static final String[] FIELDS = {
        "id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms", "other"
    };
    private static final String[] VALUES = {
        "\"h1\"",
        "\"10.0.0.1:80\"",
        "\"ready\"",
        "\"draining\"",
        "\"gone\"",
        "\"\"",
        "\"7\"",
        "\" 2.5 \"",
        "7",
        "-2.75",
        "1e3",
        "99999999999",
        "18446744073709551616",
        "1e400",
        "true",
        "false",
        "null",
        "{}",
        "[]",
        "{\"id\": \"inner\", \"servers\": [{\"id\": \"x\"}]}",
        "[[1, {\"a\": []}], \"b\"]",
        "\"\\u00e9\\n\\\"\"",
        "\"10.0.0.1:99999\"",
        "\"[::1]:5\""
    };

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static EndpointList read(String text, int piece, long limitBytes) throws IOException {
        byte[] bytes = utf8(text);
        try (EndpointListReader reader = new EndpointListReader(limitBytes)) {
            for (int at = 0; at < bytes.length; at += piece) {
                byte[] part = new byte[piece];
                int length = Math.min(piece, bytes.length - at);
                System.arraycopy(bytes, at, part, 0, length);
                reader.feed(part, 0, length);
                java.util.Arrays.fill(part, (byte) '!'); // it is not the reader's any more
            }
            return reader.finish();
        }
    }

    /** The meaning of a list, by its tree; null where it is none. */
    private static EndpointList byTree(String text) throws IOException {
        JsonNode list = JsonTreeReader.read(new ByteArrayInputStream(utf8(text)));
        if (!list.path("version").isIntegralNumber() || !list.path("servers").isArray()) {
            return null;
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (JsonNode e : list.path("servers")) {
            String id = e.path("id").asText();
            HostState state = HostState.DRAINING;
            InetSocketAddress address = null;
            try {
                HostState told =
                        switch (e.path("state").asText()) {
                            case "ready" -> HostState.RUNNING;
                            case "draining" -> HostState.DRAINING;
                            case "gone" -> HostState.GONE;
                            default -> throw new IllegalArgumentException();
                        };
                address = told == HostState.GONE
                        ? null
                        : SocketAddresses.parse(e.path("addr").asText());
                state = told;
            } catch (IllegalArgumentException bad) {
                // drains
            }
            if (!id.isEmpty()) {
                entries.add(new EndpointList.Entry(
                        new Host(
                                id,
                                e.path("zone").asText(),
                                e.path("kind").asText(),
                                e.path("cell").asInt(),
                                state,
                                e.path("weight").asDouble(1),
                                e.path("started_ms").asDouble()),
                        address));
            }
        }
        return new EndpointList(
                Math.max(-1, list.path("version").asLong(-1)), list.path("full").asBoolean(), entries);
    }

    private static EndpointList byPieces(String text, int piece) {
        try {
            return read(text, piece, ROOMY);
        } catch (IOException e) {
            return null;
        }
    }

    private static void same(String text) throws IOException {
        EndpointList tree = byTree(text);
        for (int piece : new int[] {1, 7, 64, 1 << 16}) {
            assertEquals(tree, byPieces(text, piece), () -> "in pieces of " + piece + ": " + text);
        }
    }

    private static String good(int number) {
        return "{\"id\": \"h" + number + "\", \"addr\": \"10.0.0.1:" + (1000 + number) + "\", \"zone\": \"z"
                + number % 3 + "\", \"kind\": \"k\", \"cell\": " + number + ", \"state\": \"ready\", \"weight\": 0.5, "
                + "\"started_ms\": 1234.5}";
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"version\": 41, \"full\": true, \"servers\": []}",
                "{\"servers\": [%s], \"full\": true, \"version\": 41}",
                "{\"servers\": [%s, %s], \"version\": -41}",
                "{\"version\": 1, \"servers\": [%s], \"servers\": [%s]}",
                "{\"version\": 1, \"servers\": [%s], \"servers\": 3}",
                "{\"version\": 1, \"servers\": {\"servers\": [%s]}}",
                "{\"version\": 1, \"version\": 2, \"full\": \"true\", \"servers\": [%s]}",
                "{\"version\": 18446744073709551616, \"full\": 1, \"servers\": [%s]}",
                "{\"version\": 1.5, \"servers\": [%s]}",
                "{\"version\": \"1\", \"servers\": [%s]}",
                "{\"version\": null, \"servers\": [%s]}",
                "{\"full\": true, \"servers\": [%s]}",
                "{\"version\": 1}",
                "{\"deep\": {\"version\": 7, \"servers\": [[%s]]}, \"version\": 1, \"servers\": [%s]}",
                "{\"version\": 1, \"servers\": [null, 7, \"x\", [%s], [[]], {}, %s]}",
                " \r\n\t{\"version\"\n:\n1 ,\"servers\" : [ %s\n,\n%s ] }\n\n",
                "{\"version\": 1, \"servers\": [%s]} and more",
                "{\"version\": 1, \"servers\": [%s]}}",
                "[]",
                "[{\"version\": 1, \"servers\": [%s]}]",
                "7",
                "\"x\"",
                "null",
                "",
                " "
            })
    void listReadInPiecesEqualsTheListOfItsTree(String form) throws IOException {
        same(form.formatted(good(1), good(2)));
    }

    /** Of each field any value may come, twice, and in any order. */
    @Test
    void valuesOfWrongTypesMeanTheSameAsInATree() throws IOException {
        Random random = new Random(11);
        for (int run = 0; run < 300; run++) {
            StringBuilder entry = new StringBuilder("{\"id\": \"h\"");
            for (int i = random.nextInt(10); i > 0; i--) {
                entry.append(", \"")
                        .append(FIELDS[random.nextInt(FIELDS.length)])
                        .append("\": ")
                        .append(VALUES[random.nextInt(VALUES.length)]);
            }
            same("{\"version\": " + VALUES[6 + random.nextInt(5)] + ", \"full\": "
                    + VALUES[random.nextInt(VALUES.length)] + ", \"servers\": [" + entry + "}, " + good(1) + "]}");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{",
                "{\"version\"",
                "{\"version\": 1, \"servers\": [",
                "{\"version\": 1, \"servers\": [%s",
                "{\"version\": 1, \"servers\": [%s]",
                "{\"version\": 1, \"servers\": [%s,]}",
                "nope",
                "{\"version\": 1, \"servers\": [%s} }",
                "{'version': 1}",
                "]",
                "{\"version\": 01, \"servers\": []}"
            })
    void malformedJsonThrows(String form) {
        String text = form.formatted(good(1));
        assertThrows(IOException.class, () -> byTree(text));
        for (int piece : new int[] {1, 7, 1 << 16}) {
            assertThrows(IOException.class, () -> read(text, piece, ROOMY));
        }
    }

    @Test
    void tooDeepNestingThrows() {
        assertThrows(IOException.class, () -> read("{\"x\": " + "[".repeat(100_000), 64, ROOMY));
    }

    private static String many(int hosts) {
        StringBuilder text = new StringBuilder("{\"version\": 1, \"full\": true, \"servers\": [");
        for (int i = 0; i < hosts; i++) {
            text.append(i == 0 ? "" : ", ").append(good(i));
        }
        return text.append("]}").toString();
    }

    @Test
    void textsThatHostsShareAreHeldOnce() throws IOException {
        List<EndpointList.Entry> entries = read(many(300), 64, ROOMY).entries();
        assertEquals(300, entries.size());
        for (int i = 3; i < entries.size(); i++) {
            assertSame(entries.get(i % 3).host().zone(), entries.get(i).host().zone());
            assertSame(entries.get(0).host().kind(), entries.get(i).host().kind());
        }
    }

    /** As long as there is memory, and one line says how much there was. */
    @Test
    void listOverTheLimitIsRejectedWithItsSizeAndTheLimit() throws IOException {
        long limit = 100L * EndpointEntryBuilder.HOST_BYTES;
        assertEquals(90, read(many(90), 64, limit).entries().size());
        String text = many(200);
        EndpointListTooLongException refused =
                assertThrows(EndpointListTooLongException.class, () -> read(text, 64, limit));
        assertTrue(
                refused.getMessage()
                        .matches("a list is rejected, of which \\d+ bytes came: its first \\d\\d hosts " + "fill the "
                                + limit + " bytes that memory allows for it"),
                refused.getMessage());
        try (EndpointListReader reader = new EndpointListReader(limit)) {
            reader.announce(text.length());
            EndpointListTooLongException announced =
                    assertThrows(EndpointListTooLongException.class, () -> reader.feed(utf8(text), 0, text.length()));
            assertTrue(announced.getMessage().startsWith("a list of " + text.length() + " bytes is rejected: "));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {" ", "{\"x\": 1}, ", "{\"id\": \"h\", \"zone\": \"#\"}, "})
    void textWithoutHostsOverTheLimitIsRejected(String filling) {
        StringBuilder text = new StringBuilder("{\"version\": 1, \"servers\": [");
        for (int i = 0; text.length() < 200_000; i++) {
            text.append(filling.replace("#", "z" + i));
        }
        assertThrows(
                EndpointListTooLongException.class,
                () -> read(text.append("{}]}").toString(), 1000, 100_000));
    }

    @Test
    void textAnnouncedOverTheLimitIsRejectedUnread() {
        try (EndpointListReader reader = new EndpointListReader(1000)) {
            EndpointListTooLongException refused =
                    assertThrows(EndpointListTooLongException.class, () -> reader.announce(1001));
            assertEquals(
                    "a list of 1001 bytes is rejected: its text alone is longer than the 1000 bytes that memory "
                            + "allows for it",
                    refused.getMessage());
        }
    }

    @Test
    void smallHeapStillHoldsSomeHosts() {
        assertTrue(EndpointListParser.maxBytes(1 << 20) / EndpointEntryBuilder.HOST_BYTES >= 900);
        assertTrue(EndpointListParser.maxBytes(46 << 20) < 46 << 20);
    }

    /** What one host costs is the same in a long list as in a short one: nothing of the text is kept or copied. */
    @Test
    void allocationPerHostDoesNotGrowWithTheList() throws IOException {
        allocatedPerHost(100);
        double few = allocatedPerHost(2_000);
        double all = allocatedPerHost(40_000);
        assertTrue(all < 1.1 * few, few + " bytes a host, then " + all);
    }

    private static double allocatedPerHost(int hosts) throws IOException {
        ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        byte[] text = utf8(many(hosts));
        long before = thread.getCurrentThreadAllocatedBytes();
        try (EndpointListReader reader = new EndpointListReader(ROOMY)) {
            for (int at = 0; at < text.length; at += 1 << 14) {
                reader.feed(text, at, Math.min(1 << 14, text.length - at));
            }
            assertEquals(hosts, reader.finish().entries().size());
        }
        return (thread.getCurrentThreadAllocatedBytes() - before) / (double) hosts;
    }

    // ---- in a configuration

    private static Optional<EndpointList> configured(String known) throws IOException {
        String config = TestGateways.config("127.0.0.1:1", "127.0.0.1:0")
                .replace("{\"version\": 0, \"full\": true, \"servers\": []}", known);
        KnownEndpoints streamed = new KnownEndpoints();
        GatewayConfig whole = GatewayConfig.read(new ByteArrayInputStream(utf8(config)), streamed);
        try (JsonParser tree = new ObjectMapper().readTree(config).path("known").traverse()) {
            assertEquals(EndpointListParser.parse(tree, EndpointListParser.maxBytes()), streamed.list());
        }
        GatewayConfig again = GatewayConfig.read(new ByteArrayInputStream(utf8(config)), JsonParser::skipChildren);
        assertEquals(whole, again);
        return streamed.list();
    }

    /** Leniently, as ever: what no list is told by is no fault of the configuration. */
    @Test
    void knownEndpointsOfAConfigurationAreReadLeniently() throws IOException {
        assertEquals(
                Optional.of(byTree("{\"version\": 41, \"servers\": [" + good(1) + "]}")),
                configured("{\"version\": \"41\", \"servers\": [" + good(1) + "]}"));
        assertEquals(
                -1, configured("{\"servers\": [" + good(1) + "]}").orElseThrow().version());
        for (String none : List.of("{}", "null", "7", "[]", "{\"version\": 3, \"servers\": {\"a\": [1]}}")) {
            assertTrue(configured(none).isEmpty());
        }
    }
}
