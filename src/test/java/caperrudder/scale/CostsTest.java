package caperrudder.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What the program costs by its size, held by bytes and counts; never by a timer. Bytes come out the same each time
 * in a process of its own with the compiler of the deployment, which leaves no allocation out. Changes and idle
 * seconds cost the same whatever the number of hosts; a whole list costs by each of them.
 */
class CostsTest {
    private static final int PATIENCE_S = 120;
    private static final double ROOM = 1.1; // for versions of Java and of libraries

    @TempDir
    private Path dir;

    private Process java(List<String> flags, String... command) throws IOException {
        List<String> line = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        line.addAll(flags);
        line.addAll(List.of("-cp", System.getProperty("java.class.path"), "caperrudder.Main"));
        line.addAll(List.of(command));
        return new ProcessBuilder(line)
                .redirectOutput(dir.resolve("out").toFile())
                .redirectError(dir.resolve("err").toFile())
                .start();
    }

    private int end(Process p) throws InterruptedException {
        try {
            assertTrue(p.waitFor(PATIENCE_S, TimeUnit.SECONDS));
            return p.exitValue();
        } finally {
            p.destroyForcibly();
        }
    }

    /** Values by size and name. */
    private Map<Integer, Map<String, Double>> measure(String... options) throws Exception {
        List<String> line = new ArrayList<>(List.of("scale", "--json"));
        line.addAll(List.of(options));
        Process p =
                java(List.of("-Xmx512m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"), line.toArray(String[]::new));
        assertEquals(0, end(p), () -> read("err"));
        JsonNode told = new ObjectMapper().readTree(read("out"));
        Map<Integer, Map<String, Double>> values = new TreeMap<>();
        for (JsonNode f : told.path("figures")) {
            values.computeIfAbsent(f.path("hosts").asInt(), n -> new TreeMap<>())
                    .put(f.path("name").asText(), f.path("value").asDouble());
        }
        return values;
    }

    private String read(String file) {
        try {
            return Files.readString(dir.resolve(file));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void atMost(double most, Map<Integer, Map<String, Double>> told, int hosts, String name) {
        double is = told.get(hosts).get(name);
        assertTrue(is <= most * ROOM, name + " at " + hosts + " hosts: " + is + ", at most " + most);
    }

    @Test
    void whatHostsCostByTheirNumber() throws Exception {
        String[] options = {
            "--hosts", "1000,8000", "--fleet", "4200", "--requests", "400", "--changes", "10", "--idle", "2"
        };
        Map<Integer, Map<String, Double>> told = measure(options);
        // A request's share of the fleet's hosts is bounded: 8 homes at the one size, 11 at the other.
        assertEquals(8, told.get(1000).get("requests.hosts.met"));
        assertEquals(11, told.get(8000).get("requests.hosts.met"));
        atMost(told.get(1000).get("request.allocated"), told, 8000, "request.allocated");
        for (int hosts : told.keySet()) {
            atMost(850.0 * hosts, told, hosts, "list.read.allocated");
            atMost(20_000, told, hosts, "change.allocated");
            atMost(130_000, told, hosts, "idle.second.allocated");
            atMost(170, told, hosts, "change.text");
        }
        assertEquals(
                told.get(8000).get("change.allocated"),
                measure(options).get(8000).get("change.allocated"),
                0.01 * told.get(8000).get("change.allocated"));
    }

    /** A question and its answer for a request, and news now and then; none while nothing happens. */
    @Test
    void whatPeersCost() throws Exception {
        Map<String, Double> told = measure(
                        "--hosts",
                        "100",
                        "--gateways",
                        "100",
                        "--tenants",
                        "1000",
                        "--requests",
                        "50",
                        "--rate",
                        "50",
                        "--changes",
                        "1",
                        "--idle",
                        "1",
                        "--sharing",
                        "peers")
                .get(100);
        assertEquals(0, told.get("idle.messages"));
        double each = told.get("peers.messages") / told.get("requests");
        assertTrue(each > 0 && each <= 2.1, "messages a request: " + each);
        assertTrue(told.get("peers.message.allocated") <= 4000 * ROOM, told::toString);
    }

    /** The measuring of a real process, and that such a process loads nothing of what measures. */
    @Test
    void aServingProcessLoadsNothingOfTheMeasuring() throws Exception {
        Path classes = dir.resolve("classes");
        String run = "exec '" + Path.of(System.getProperty("java.home"), "bin", "java") + "' -XX:+UseSerialGC"
                + " '-Xlog:class+load:file=" + classes + "' -cp '" + System.getProperty("java.class.path")
                + "' caperrudder.Main serve";
        Process p = java(
                List.of(),
                "scale",
                "process",
                "--run",
                run,
                "--hosts",
                "3",
                "--idle",
                "1",
                "--load",
                "1",
                "--rate",
                "20",
                "--changes",
                "2",
                "--json");
        assertEquals(0, end(p), () -> read("err"));
        Map<String, Double> told = new TreeMap<>();
        new ObjectMapper()
                .readTree(read("out"))
                .path("figures")
                .forEach(f -> told.put(f.path("name").asText(), f.path("value").asDouble()));
        assertEquals(
                List.of(1.0, 1.0, 20.0, 0.0),
                List.of(
                        told.get("process.alive"),
                        told.get("process.list.taken"),
                        told.get("process.requests.served"),
                        told.get("process.requests.unserved")),
                told::toString);
        String loaded = read("classes");
        assertTrue(loaded.contains("caperrudder.server.upstream.UpstreamConnection"), "the process served nothing");
        for (String stranger : List.of("caperrudder.scale", "picocli", "HdrHistogram")) {
            assertTrue(!loaded.contains(stranger + "."), stranger);
        }
    }
}
