package caperrudder.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Snapshot;
import caperrudder.server.handover.HandoverFiles;
import caperrudder.server.handover.HandoverFiles.Claim;
import caperrudder.server.handover.ProcessHandover;
import caperrudder.server.handover.SnapshotCodec;
import caperrudder.server.runtime.Clock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the processes of one gateway leave each other. */
class ProcessHandoverTest {
    private static final long LONGEST_MS = 8000;

    @TempDir
    private Path dir;

    private final Clock clock = new Clock();
    private final BlockingQueue<Snapshot> taken = new LinkedBlockingQueue<>();
    private final List<ProcessHandover> begun = new ArrayList<>();
    private volatile boolean beside;
    private Process other; // a process that lives
    private HandoverFiles files;

    @BeforeEach
    void open() throws Exception {
        other = new ProcessBuilder("sleep", "600").start();
        files = new HandoverFiles(dir);
    }

    @AfterEach
    void end() throws Exception {
        for (ProcessHandover s : begun) {
            s.end();
        }
        other.destroyForcibly();
    }

    private Snapshot books(double at) {
        return new Snapshot(
                at,
                7,
                List.of(new QuotaSnapshot(5, "p", 1, 2, 1, 2, 3, 4, 5, 6, 7, 8, 9)),
                List.of(new HealthSnapshot("h", "", 2, 3, 4), new HealthSnapshot("h", "c", 2, 3, 4)),
                List.of(new ClassSnapshot("c", 1, 2, 3, 4, 5, 6)));
    }

    private ProcessHandover succession() {
        ProcessHandover s = new ProcessHandover(
                new ProcessHandover.Party() {
                    @Override
                    public Snapshot books() {
                        return ProcessHandoverTest.this.books(clock.now());
                    }

                    @Override
                    public void inherit(Snapshot books) {
                        taken.add(books);
                    }

                    @Override
                    public void beside(boolean process) {
                        beside = process;
                    }
                },
                dir.toString(),
                clock);
        begun.add(s);
        return s;
    }

    @Test
    void booksComeBackAsTheyWereAndTornOnesNotAtAll() throws Exception {
        Snapshot b = books(12.5);
        byte[] bytes = SnapshotCodec.write(b);
        assertEquals(b, SnapshotCodec.read(bytes));
        for (int length = 0; length < bytes.length; length++) {
            assertNull(SnapshotCodec.read(Arrays.copyOf(bytes, length)), "torn at " + length);
        }
        for (int at = 0; at < bytes.length; at++) {
            byte[] damaged = bytes.clone();
            damaged[at] ^= 0x10;
            assertNull(SnapshotCodec.read(damaged), "damaged at " + at);
        }
    }

    @Test
    void withoutAFolderOrAnotherProcessAllIsAsEver() {
        ProcessHandover none = new ProcessHandover(null, "", clock);
        assertNull(none.left());
        assertFalse(none.isSucceeded());
        ProcessHandover alone = succession();
        alone.begin();
        assertEquals(LONGEST_MS, alone.warmUpMs(LONGEST_MS));
        assertFalse(beside);
        assertNull(alone.left());
        alone.serving();
        assertFalse(alone.isSucceeded());
    }

    @Test
    void booksOfALongGoneProcessAreNotTaken() throws Exception {
        files.write(books(clock.now() - 60_000));
        assertNull(succession().left());
        files.write(books(clock.now() + 60_000));
        assertNull(succession().left());
        files.write(books(clock.now()));
        assertNotNull(succession().left());
    }

    @Test
    void aSuccessorIsBesideAndHearsOfLaterUse() throws Exception {
        files.write(new Claim(other.pid(), true));
        files.write(books(clock.now()));
        ProcessHandover s = succession();
        s.begin();
        assertTrue(beside);
        assertTrue(s.warmUpMs(LONGEST_MS) < LONGEST_MS);
        assertEquals(new Claim(ProcessHandle.current().pid(), false), files.claim());
        assertNotNull(s.left());
        s.serving();
        assertEquals(new Claim(ProcessHandle.current().pid(), true), files.claim());
        Snapshot later = books(clock.now());
        files.write(later);
        assertEquals(later, taken.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        other.destroyForcibly().waitFor();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
        while (beside) {
            assertTrue(System.nanoTime() < end, "still beside the one that ended");
            Thread.sleep(5);
        }
    }

    @Test
    void aProcessThatIsFollowedLeavesItsBooksAndGivesWayOnlyToOneThatServes() throws Exception {
        ProcessHandover s = succession();
        s.begin();
        s.serving();
        files.write(new Claim(other.pid(), false));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
        while (files.books() == null || !beside) {
            assertTrue(System.nanoTime() < end, "left no books");
            Thread.sleep(5);
        }
        assertFalse(s.isSucceeded());
        files.write(new Claim(other.pid(), true));
        assertTrue(s.isSucceeded());
        other.destroyForcibly().waitFor();
        assertFalse(s.isSucceeded());
        while (files.claim().process() != ProcessHandle.current().pid()) { // the next one is to find this one
            assertTrue(System.nanoTime() < end, "claims nothing again");
            Thread.sleep(5);
        }
        assertFalse(Files.exists(
                dir.resolve("caperrudder-books." + ProcessHandle.current().pid())));
    }
}
