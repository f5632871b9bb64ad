package caperrudder.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The command as its users meet it. */
class ScaleCommandTest {
    private static final String SMALL =
            "--hosts 64 --gateways 3 --tenants 30 --spread 2 --requests 50 --changes 4 --idle 1";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String options) {
        out.reset();
        err.reset();
        return ScaleCommand.run(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                options.trim().split(" +"));
    }

    private JsonNode json(String options) throws IOException {
        assertEquals(0, run(options + " --json"), err::toString);
        return new ObjectMapper().readTree(out.toByteArray());
    }

    private static List<String> counts(JsonNode told) {
        List<String> counts = new ArrayList<>();
        for (JsonNode f : told.path("figures")) {
            if (f.path("count").asBoolean()) {
                counts.add(f.path("name").asText() + '=' + f.path("value"));
            }
        }
        return counts;
    }

    private static double figure(JsonNode told, String name) {
        for (JsonNode f : told.path("figures")) {
            if (f.path("name").asText().equals(name)) {
                return f.path("value").asDouble();
            }
        }
        throw new AssertionError("no figure " + name);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "--hosts 0",
                "--hosts x",
                "--hosts 10,-1",
                "--gateways 0",
                "--gateways 5 --fleet 4",
                "--fleet 70000",
                "--tenants 0",
                "--gateways 4 --spread 5",
                "--requests -1",
                "--rate 0",
                "--changes -1",
                "--hosts 10 --at-once 11",
                "--idle 0",
                "--rounds 0",
                "--sharing gossip",
                "--unknown",
                "extra",
                "process --hosts 0",
                "process --rate 0",
                "process --memory-mb 1",
                "process --fleet 0",
                "--hosts 2000000000"
            })
    void optionsThatMakeNoSenseEndItWithOneLineAndTwo(String options) {
        assertEquals(2, run(options));
        assertEquals(0, out.size());
        List<String> lines = err.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(1, lines.size(), lines::toString);
        assertTrue(lines.get(0).startsWith("scale"), lines::toString);
    }

    @Test
    void moreThanHalfOfTheMachinesMemoryIsRefusedBeforeAnythingIsBuilt() {
        assertEquals(2, run("--gateways 4200 --hosts 160000"));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("over half of the machine's"), err::toString);
        long machine = 1000L << 20;
        for (long[] bad : new long[][] {{600 << 20, 600 << 20}, {1, 600 << 20}, {300 << 20, 200 << 20}}) {
            org.junit.jupiter.api.Assertions.assertThrows(
                    IllegalArgumentException.class, () -> MemoryLimit.check((double) bad[0], bad[1], machine));
        }
        MemoryLimit.check(300 << 20, 400 << 20, machine);
    }

    @Test
    void helpTellsUnitsAndDefaults() {
        assertEquals(0, run("--help"));
        String help = out.toString(StandardCharsets.UTF_8);
        for (String part :
                List.of("--gateways", "--tenants", "--changes", "--seed", "(default: 1000)", "seconds", "process")) {
            assertTrue(help.contains(part), part);
        }
    }

    @Test
    void oneSeedGivesTheSameCountsEachTimeAndAnotherOneOthers() throws IOException {
        for (String sharing : List.of(" --sharing meter", " --sharing peers")) {
            List<String> counts = counts(json(SMALL + sharing + " --seed 7"));
            assertTrue(counts.size() > 20, counts::toString);
            assertEquals(counts, counts(json(SMALL + sharing + " --seed 7")));
            assertNotEquals(counts, counts(json(SMALL + sharing + " --seed 8")));
        }
    }

    @Test
    void jsonTellsTheOptionsAndLinesTellTheSameFigures() throws IOException {
        JsonNode told = json(SMALL);
        assertEquals(3, told.path("options").path("gateways").asInt());
        assertEquals(30, told.path("options").path("tenants").asInt());
        assertTrue(told.path("flags").isArray());
        assertEquals(0, run(SMALL));
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(told.path("figures").size(), lines.size());
        for (int i = 0; i < lines.size(); i++) {
            assertTrue(
                    lines.get(i)
                            .contains(" "
                                    + told.path("figures").get(i).path("name").asText() + " "),
                    lines.get(i));
        }
    }

    @Test
    void eachRequestIsMeasuredToItsEnd() throws IOException {
        JsonNode told = json(SMALL + " --sharing peers");
        assertEquals(3 * 50, figure(told, "requests"));
        assertEquals(
                3 * 50,
                figure(told, "requests.served") + figure(told, "requests.refused") + figure(told, "requests.failed"));
        assertEquals(3 * 20, figure(told, "tenants.of.gateways")); // 30 tenants, each at 2 of 3 gateways
        assertEquals(50, figure(told, "idle.beats"));
    }

    @Test
    void meteredGatewaysSendEachOtherNothing() throws IOException {
        assertEquals(0, figure(json(SMALL), "peers.messages"));
    }

    /** Each message of a gateway has some 250 bytes at the most, and asks or answers for several requests. */
    @Test
    void messagesOfAFleetKeepToItsMail() throws IOException {
        JsonNode told = json("--hosts 200 --gateways 40 --tenants 400 --requests 100 --rate 100 --changes 2 --idle 1"
                + " --sharing peers");
        double messages = figure(told, "peers.messages");
        assertTrue(messages > 0 && messages <= 3 * figure(told, "requests"), "messages " + messages);
        assertTrue(figure(told, "peers.bytes") <= 256 * messages);
        assertTrue(figure(told, "peers.messages.gateway.second") <= 60, told::toString); // the mail of the settings
        assertFalse(figure(told, "idle.messages") > 0);
    }
}
