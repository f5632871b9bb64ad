package caperrudder.server.handover;

import caperrudder.api.Snapshot;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The two files by which the processes of one gateway know of each other: who came last, and the books. Each is
 * written whole beside its place and renamed, so a reader finds the old or the new one; what can't be read is absent.
 */
public final class HandoverFiles {
    private static final String PREFIX = "caperrudder-";
    private static final int CLAIM_BYTES = 64;
    private static final Pattern CLAIM = Pattern.compile("1 (\\d{1,18}) (true|false)\n");

    /** The process that started last, and whether it takes clients. */
    public record Claim(long process, boolean serving) {}

    private final Path claim;
    private final Path books;

    public HandoverFiles(Path folder) {
        claim = folder.resolve(PREFIX + "claim");
        books = folder.resolve(PREFIX + "books");
    }

    public void write(Claim c) throws IOException {
        write(claim, ("1 " + c.process + ' ' + c.serving + '\n').getBytes(StandardCharsets.US_ASCII));
    }

    /** Null where there is none. */
    public Claim claim() {
        byte[] text = read(claim, CLAIM_BYTES);
        Matcher m = CLAIM.matcher(new String(text, StandardCharsets.US_ASCII));
        return m.matches() ? new Claim(Long.parseLong(m.group(1)), Boolean.parseBoolean(m.group(2))) : null;
    }

    public void write(Snapshot b) throws IOException {
        byte[] bytes = SnapshotCodec.write(b);
        if (bytes.length <= SnapshotCodec.MAX_BYTES) {
            write(books, bytes);
        }
    }

    /** Null where there are none. */
    public Snapshot books() {
        return SnapshotCodec.read(read(books, SnapshotCodec.MAX_BYTES));
    }

    private static void write(Path to, byte[] bytes) throws IOException {
        Path beside = to.resolveSibling(
                to.getFileName() + "." + ProcessHandle.current().pid());
        Files.write(beside, bytes);
        Files.move(beside, to, StandardCopyOption.ATOMIC_MOVE);
    }

    private static byte[] read(Path from, int max) {
        try {
            return Files.size(from) <= max ? Files.readAllBytes(from) : new byte[0];
        } catch (IOException e) {
            return new byte[0];
        }
    }
}
