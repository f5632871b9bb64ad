package caperrudder.policy;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads the golden files: bytes that an earlier version of the program wrote and that every later version has to
 * read, and to write again, unchanged. They are replaced only together with a new version number of their format.
 */
public final class GoldenFiles {
    private GoldenFiles() {}

    public static byte[] bytes(String name) {
        try (InputStream in = GoldenFiles.class.getResourceAsStream("/golden/" + name)) {
            if (in == null) throw new IllegalArgumentException("no golden file " + name);
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The lines "name hex" of a golden file, in order; lines that begin with # are comments. */
    public static Map<String, String> hexByName(String name) {
        Map<String, String> all = new LinkedHashMap<>();
        new String(bytes(name), StandardCharsets.US_ASCII)
                .lines()
                .filter(line -> !line.startsWith("#"))
                .map(line -> line.split(" ", -1))
                .forEach(parts -> all.put(parts[0], parts[1]));
        return all;
    }
}
