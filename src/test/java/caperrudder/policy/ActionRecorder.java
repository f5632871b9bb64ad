package caperrudder.policy;

import caperrudder.api.PolicyActions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * Records every action of one policy with all its arguments, in order, and passes it on to the world around the
 * policy. A line is the time and the action's name and arguments; doubles are recorded by their bits, so that two
 * records are equal only where every figure is.
 */
final class ActionRecorder implements PolicyActions {
    private final DoubleSupplier clock;
    private final PolicyActions world;
    private final List<String> lines = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();

    ActionRecorder(DoubleSupplier clock, PolicyActions world) {
        this.clock = clock;
        this.world = world;
    }

    /** Exact text of a double; also for what a test adds to a record. */
    static String bits(double value) {
        return Long.toHexString(Double.doubleToLongBits(value));
    }

    /** SHA-256 of lines of text, in hexadecimal digits. */
    static String digest(List<String> lines) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            lines.forEach(line -> sha.update((line + '\n').getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }

    /** Writes lines to a file of the folder that -Dactions.folder names, to be compared with those of another version. */
    static void keep(String name, List<String> lines) {
        String folder = System.getProperty("actions.folder");
        if (folder == null) return;
        try {
            Files.write(Files.createDirectories(Path.of(folder)).resolve(name + ".txt"), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    List<String> lines() {
        return lines;
    }

    /** How often this action was taken. */
    int count(String action) {
        return counts.getOrDefault(action, 0);
    }

    private void write(String action, String arguments) {
        double now = clock.getAsDouble();
        lines.add((long) now + " " + bits(now) + " " + action + " " + arguments);
        counts.merge(action, 1, Integer::sum);
    }

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        write("send", id + " " + host + " " + bits(timeoutMs));
        world.sendAttempt(id, host, timeoutMs);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        write("cancel", id + " " + attempt);
        world.cancelAttempt(id, attempt);
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        write("refuse", id + " " + bits(retryAfterMs));
        world.reject(id, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        write("fail", id);
        world.fail(id);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        write("timer", bits(delayMs) + " " + token);
        world.startTimer(delayMs, token);
    }

    @Override
    public void startHealthCheck(String host) {
        write("probe", host);
        world.startHealthCheck(host);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        write("tell", peer + " " + HexFormat.of().formatHex(data));
        world.sendToPeer(peer, data);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        write("count", counter + " " + bits(amount) + " " + bits(lifetimeMs));
        world.addToCounter(counter, amount, lifetimeMs);
    }

    @Override
    public void subscribeToHosts() {
        write("watchHosts", "");
        world.subscribeToHosts();
    }
}
