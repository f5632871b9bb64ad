package caperrudder.server.handover;

import caperrudder.api.PolicySnapshot;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The two files by which the processes of one gateway know of each other: the claim of the one that started last, and
 * the snapshot. Each is written whole beside its place and renamed, so a reader finds the old or the new one; what is
 * missing, torn or damaged is absent. Processes of different versions of the program share them, so names and formats
 * must not change.
 */
final class HandoverFiles {
    private static final String CLAIM_NAME = "caperrudder-claim";
    private static final String SNAPSHOT_NAME = "caperrudder-books";
    private static final int CLAIM_MAX_BYTES = 64;
    /** Format version, process, whether it serves. */
    private static final Pattern CLAIM_FORMAT = Pattern.compile("1 (\\d{1,18}) (true|false)\n");

    /**
     * The process that started last.
     *
     * @param process its process id
     * @param serving whether it serves clients
     */
    record Claim(long process, boolean serving) {}

    private final Path claimFile;
    private final Path snapshotFile;

    HandoverFiles(Path folder) {
        claimFile = folder.resolve(CLAIM_NAME);
        snapshotFile = folder.resolve(SNAPSHOT_NAME);
    }

    void writeClaim(Claim claim) throws IOException {
        String line = "1 " + claim.process + ' ' + claim.serving + '\n';
        replace(claimFile, line.getBytes(StandardCharsets.US_ASCII));
    }

    Optional<Claim> readClaim() {
        String text = new String(read(claimFile, CLAIM_MAX_BYTES), StandardCharsets.US_ASCII);
        Matcher matcher = CLAIM_FORMAT.matcher(text);
        return matcher.matches()
                ? Optional.of(new Claim(Long.parseLong(matcher.group(1)), Boolean.parseBoolean(matcher.group(2))))
                : Optional.empty();
    }

    /** Leaves the file as it is where the snapshot is too long. */
    void writeSnapshot(PolicySnapshot snapshot) throws IOException {
        byte[] bytes = SnapshotCodec.encode(snapshot);
        if (bytes.length <= SnapshotCodec.MAX_BYTES) {
            replace(snapshotFile, bytes);
        }
    }

    Optional<PolicySnapshot> readSnapshot() {
        byte[] bytes = read(snapshotFile, SnapshotCodec.MAX_BYTES);
        if (bytes.length == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(SnapshotCodec.decode(bytes));
        } catch (SnapshotFormatException e) {
            return Optional.empty(); // the process starts as one without a predecessor
        }
    }

    private static void replace(Path file, byte[] bytes) throws IOException {
        Path temporary = file.resolveSibling(
                file.getFileName() + "." + ProcessHandle.current().pid());
        Files.write(temporary, bytes);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The bytes of a file; none where it is missing, can't be read or is longer than {@code maxBytes}. */
    private static byte[] read(Path file, int maxBytes) {
        try {
            return Files.size(file) <= maxBytes ? Files.readAllBytes(file) : new byte[0];
        } catch (IOException e) {
            return new byte[0];
        }
    }
}
