package caperrudder.server.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.server.GatewaySocketTest;
import caperrudder.server.handover.HandoverFiles.Claim;
import caperrudder.server.runtime.Clock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
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
    private final BlockingQueue<PolicySnapshot> restored = new LinkedBlockingQueue<>();
    private final List<ProcessHandover> handovers = new ArrayList<>();
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
        for (ProcessHandover s : handovers) {
            s.end();
        }
        other.destroyForcibly();
    }

    private PolicySnapshot snapshotOf(double at) {
        return new PolicySnapshot(
                at,
                7,
                List.of(new QuotaSnapshot(5, "p", 1, 2, 1, 2, 3, 4, 5, 6, 7, 8, 9)),
                List.of(new HealthSnapshot("h", "", 2, 3, 4), new HealthSnapshot("h", "c", 2, 3, 4)),
                List.of(new ClassSnapshot("c", 1, 2, 3, 4, 5, 6)));
    }

    private ProcessHandover handover() {
        ProcessHandover s = new ProcessHandover(
                new SnapshotExchange() {
                    @Override
                    public PolicySnapshot takeSnapshot() {
                        return ProcessHandoverTest.this.snapshotOf(clock.now());
                    }

                    @Override
                    public void restoreSnapshot(PolicySnapshot snapshot) {
                        restored.add(snapshot);
                    }

                    @Override
                    public void runsBesideAnother(boolean process) {
                        beside = process;
                    }
                },
                dir.toString(),
                clock);
        handovers.add(s);
        return s;
    }

    @Test
    void snapshotIsDecodedAsItWasAndTornOrDamagedOnesAreRejected() throws Exception {
        PolicySnapshot b = snapshotOf(12.5);
        byte[] bytes = SnapshotCodec.encode(b);
        assertEquals(b, SnapshotCodec.decode(bytes));
        for (int length = 0; length < bytes.length; length++) {
            byte[] torn = Arrays.copyOf(bytes, length);
            assertThrows(SnapshotFormatException.class, () -> SnapshotCodec.decode(torn), "torn at " + length);
        }
        for (int at = 0; at < bytes.length; at++) {
            byte[] damaged = bytes.clone();
            damaged[at] ^= 0x10;
            assertThrows(SnapshotFormatException.class, () -> SnapshotCodec.decode(damaged), "damaged at " + at);
        }
    }

    @Test
    void withoutFolderOrOtherProcessNothingIsHandedOver() {
        ProcessHandover none = new ProcessHandover(null, "", clock);
        assertTrue(none.predecessorSnapshot().isEmpty());
        assertFalse(none.hasServingSuccessor());
        ProcessHandover alone = handover();
        alone.begin();
        assertEquals(LONGEST_MS, alone.warmUpLimitMs(LONGEST_MS));
        assertFalse(beside);
        assertTrue(alone.predecessorSnapshot().isEmpty());
        alone.startServing();
        assertFalse(alone.hasServingSuccessor());
    }

    @Test
    void staleSnapshotIsNotRestored() throws Exception {
        files.writeSnapshot(snapshotOf(clock.now() - 60_000));
        assertTrue(handover().predecessorSnapshot().isEmpty());
        files.writeSnapshot(snapshotOf(clock.now() + 60_000));
        assertTrue(handover().predecessorSnapshot().isEmpty());
        files.writeSnapshot(snapshotOf(clock.now()));
        assertTrue(handover().predecessorSnapshot().isPresent());
    }

    @Test
    void successorSharesDescriptorsAndRestoresLaterSnapshots() throws Exception {
        files.writeClaim(new Claim(other.pid(), true));
        files.writeSnapshot(snapshotOf(clock.now()));
        ProcessHandover s = handover();
        s.begin();
        assertTrue(beside);
        assertTrue(s.warmUpLimitMs(LONGEST_MS) < LONGEST_MS);
        assertEquals(Optional.of(new Claim(ProcessHandle.current().pid(), false)), files.readClaim());
        assertTrue(s.predecessorSnapshot().isPresent());
        s.startServing();
        assertEquals(Optional.of(new Claim(ProcessHandle.current().pid(), true)), files.readClaim());
        PolicySnapshot later = snapshotOf(clock.now());
        files.writeSnapshot(later);
        assertEquals(later, restored.poll(GatewaySocketTest.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        other.destroyForcibly().waitFor();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (beside) {
            assertTrue(System.nanoTime() < end, "still beside the one that ended");
            Thread.sleep(5);
        }
    }

    @Test
    void processWithASuccessorLeavesSnapshotsAndYieldsOnlyToOneThatServes() throws Exception {
        ProcessHandover s = handover();
        s.begin();
        s.startServing();
        files.writeClaim(new Claim(other.pid(), false));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GatewaySocketTest.TIMEOUT_MS);
        while (files.readSnapshot().isEmpty() || !beside) {
            assertTrue(System.nanoTime() < end, "left no snapshot");
            Thread.sleep(5);
        }
        assertFalse(s.hasServingSuccessor());
        files.writeClaim(new Claim(other.pid(), true));
        assertTrue(s.hasServingSuccessor());
        other.destroyForcibly().waitFor();
        assertFalse(s.hasServingSuccessor());
        while (files.readClaim().orElseThrow().process()
                != ProcessHandle.current().pid()) { // the next one is to find this one
            assertTrue(System.nanoTime() < end, "claims nothing again");
            Thread.sleep(5);
        }
        assertFalse(Files.exists(
                dir.resolve("caperrudder-books." + ProcessHandle.current().pid())));
    }
}
