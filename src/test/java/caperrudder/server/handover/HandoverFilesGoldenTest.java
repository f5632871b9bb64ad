package caperrudder.server.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.HealthSnapshot;
import caperrudder.api.PolicySnapshot;
import caperrudder.policy.GoldenFiles;
import caperrudder.server.handover.HandoverFiles.Claim;
import caperrudder.server.runtime.Clock;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pins the names and the bytes of the files by which two processes of one gateway, often of different versions, know
 * of each other: the claim of the process that started last, and the snapshot.
 */
class HandoverFilesGoldenTest {
    private static final String CLAIM_NAME = "caperrudder-claim";
    private static final String SNAPSHOT_NAME = "caperrudder-books";
    private static final String STARTING_FILE = "handover-claim-starting.txt";
    private static final String SERVING_FILE = "handover-claim-serving.txt";
    private static final Claim STARTING = new Claim(4711, false);
    private static final Claim SERVING = new Claim(123456789012345678L, true);
    private static final int CLAIM_BYTES = 64; // a longer file is no claim
    private static final int SNAPSHOT_BYTES = 1 << 20; // a longer snapshot is neither written nor read
    private static final long OWN_PROCESS = ProcessHandle.current().pid();

    @TempDir
    private Path folder;

    private HandoverFiles files;

    @BeforeEach
    void open() {
        files = new HandoverFiles(folder);
    }

    private List<String> names() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(path -> path.getFileName().toString()).sorted().toList();
        }
    }

    private byte[] written(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    private void place(String name, byte[] bytes) throws IOException {
        Files.write(folder.resolve(name), bytes);
    }

    private void placeClaim(String text) throws IOException {
        place(CLAIM_NAME, text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void goldenClaimsAreReadAndWrittenAlike() throws IOException {
        assertEquals("1 4711 false\n", new String(GoldenFiles.bytes(STARTING_FILE), StandardCharsets.US_ASCII));
        place(CLAIM_NAME, GoldenFiles.bytes(STARTING_FILE));
        assertEquals(Optional.of(STARTING), files.readClaim());
        files.writeClaim(STARTING);
        assertArrayEquals(GoldenFiles.bytes(STARTING_FILE), written(CLAIM_NAME));

        place(CLAIM_NAME, GoldenFiles.bytes(SERVING_FILE));
        assertEquals(Optional.of(SERVING), files.readClaim());
        files.writeClaim(SERVING);
        assertArrayEquals(GoldenFiles.bytes(SERVING_FILE), written(CLAIM_NAME));
        assertEquals(List.of(CLAIM_NAME), names());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "\n",
                "1 4711 false",
                "1 4711 false\r\n",
                "1 4711 false\n\n",
                "1 4711 false\n ",
                " 1 4711 false\n",
                "1  4711 false\n",
                "1 4711\n",
                "1 4711 FALSE\n",
                "1 4711 yes\n",
                "1 -4711 false\n",
                "1 +4711 false\n",
                "1 0x4711 false\n",
                "1 1234567890123456789 true\n",
                "0 4711 false\n",
                "2 4711 false\n",
                "11 4711 false\n"
            })
    void whatIsNoClaimCountsAsAbsent(String text) throws IOException {
        placeClaim(text);
        assertTrue(files.readClaim().isEmpty());
    }

    @Test
    void aMissingFileCountsAsAbsent() {
        assertTrue(files.readClaim().isEmpty());
        assertTrue(files.readSnapshot().isEmpty());
    }

    @Test
    void aClaimLongerThanAnyIsNotRead() throws IOException {
        placeClaim("1 4711 true\n" + " ".repeat(CLAIM_BYTES));
        assertTrue(files.readClaim().isEmpty());
    }

    @Test
    void theGoldenSnapshotIsReadAndWrittenAlike() throws IOException {
        place(SNAPSHOT_NAME, GoldenFiles.bytes(SnapshotGoldenTest.FILE));
        assertEquals(Optional.of(SnapshotGoldenTest.SNAPSHOT), files.readSnapshot());
        Files.delete(folder.resolve(SNAPSHOT_NAME));
        files.writeSnapshot(SnapshotGoldenTest.SNAPSHOT);
        assertArrayEquals(GoldenFiles.bytes(SnapshotGoldenTest.FILE), written(SNAPSHOT_NAME));
        assertEquals(List.of(SNAPSHOT_NAME), names());
    }

    @Test
    void aTornSnapshotCountsAsAbsent() throws IOException {
        byte[] golden = GoldenFiles.bytes(SnapshotGoldenTest.FILE);
        place(SNAPSHOT_NAME, Arrays.copyOf(golden, golden.length - 1));
        assertTrue(files.readSnapshot().isEmpty());
    }

    /** The last one that was written stays. */
    @Test
    void aSnapshotBeyondTheLargestSizeIsNotWritten() throws IOException {
        int health = 34; // bytes of an entry: two names of which one is empty, two doubles, a count
        int head = 40; // bytes of a snapshot without entries
        int room = (SNAPSHOT_BYTES - head) / health;
        HealthSnapshot entry = new HealthSnapshot("host-67890", "", 1, 2, 3);
        PolicySnapshot largest = new PolicySnapshot(1, 2, List.of(), Collections.nCopies(room, entry), List.of());
        PolicySnapshot larger = new PolicySnapshot(1, 2, List.of(), Collections.nCopies(room + 1, entry), List.of());
        files.writeSnapshot(largest);
        assertEquals(head + room * health, written(SNAPSHOT_NAME).length);
        files.writeSnapshot(larger);
        assertEquals(Optional.of(largest), files.readSnapshot());
    }

    @Test
    void aSnapshotBeyondTheLargestSizeIsNotRead() throws IOException {
        byte[] bytes = new byte[SNAPSHOT_BYTES + 1];
        place(SNAPSHOT_NAME, bytes);
        assertTrue(files.readSnapshot().isEmpty());
    }

    /** Each is written beside its place, under a name of the writing process, and renamed. */
    @Test
    void filesAreWrittenBesideTheirPlacesUnderNamesOfTheirProcess() throws IOException {
        Path claimBeside = Files.createDirectory(folder.resolve(CLAIM_NAME + "." + OWN_PROCESS));
        Path snapshotBeside = Files.createDirectory(folder.resolve(SNAPSHOT_NAME + "." + OWN_PROCESS));
        assertThrows(IOException.class, () -> files.writeClaim(STARTING));
        assertThrows(IOException.class, () -> files.writeSnapshot(SnapshotGoldenTest.SNAPSHOT));
        Files.delete(claimBeside);
        Files.delete(snapshotBeside);
        files.writeClaim(STARTING);
        files.writeSnapshot(SnapshotGoldenTest.SNAPSHOT);
        assertEquals(List.of(SNAPSHOT_NAME, CLAIM_NAME), names());
    }

    /** Of a process that starts alone: first its claim as one that starts, then as one that serves, and no snapshot. */
    @Test
    void aProcessClaimsItsGatewayAsItStartsAndAsItServes() throws Exception {
        ProcessHandover handover = new ProcessHandover(
                new SnapshotExchange() {
                    @Override
                    public PolicySnapshot takeSnapshot() {
                        return SnapshotGoldenTest.SNAPSHOT;
                    }

                    @Override
                    public void restoreSnapshot(PolicySnapshot snapshot) {
                        throw new AssertionError("there is no other process");
                    }

                    @Override
                    public void runsBesideAnother(boolean other) {
                        // told at each beat
                    }
                },
                folder.toString(),
                new Clock());
        try {
            handover.begin();
            assertEquals("1 " + OWN_PROCESS + " false\n", Files.readString(folder.resolve(CLAIM_NAME)));
            handover.startServing();
            assertEquals("1 " + OWN_PROCESS + " true\n", Files.readString(folder.resolve(CLAIM_NAME)));
            assertEquals(List.of(CLAIM_NAME), names());
        } finally {
            handover.end();
        }
    }
}
