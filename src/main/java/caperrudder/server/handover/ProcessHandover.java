package caperrudder.server.handover;

import caperrudder.api.PolicySnapshot;
import caperrudder.server.handover.HandoverFiles.Claim;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.Log;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The handover from one process of a gateway to the next (page DEPLOY, upgrades). Each process claims the gateway in a
 * file; one that finds a later claim of a living process has a successor, and leaves it snapshots.
 *
 * <p>{@link #begin}, {@link #warmUpLimitMs}, {@link #predecessorSnapshot} and {@link #startServing} are called by the
 * thread that starts the process, in this order; then the files are read and written by the thread
 * {@code handover} alone, and by the one that ends the process.
 */
public final class ProcessHandover {
    private static final Log LOG = Log.of("handover");
    private static final String THREAD_NAME = "handover";
    private static final long PERIOD_MS = 250;
    /** An older snapshot is of a process that was gone before this one came. */
    private static final double SNAPSHOT_MAX_AGE_MS = 5000;
    /** From a successor's start to its claim that it serves; DEPLOY allows 6000. */
    private static final long SUCCESSOR_READY_MS = 5000;

    private static final long NO_PROCESS = 0;

    private final SnapshotExchange gateway;
    private final Optional<HandoverFiles> files; // empty where there is no folder to share
    private final Clock clock;
    private final long ownProcess = ProcessHandle.current().pid();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, THREAD_NAME);
        thread.setDaemon(true);
        return thread;
    });
    private long predecessor = NO_PROCESS; // that lives
    private double restoredAtMs; // when the last snapshot that was restored had been taken
    private boolean failing; // since a file could not be written

    /**
     * A handover that has not begun.
     *
     * @param folder which the processes of the gateway share; null or empty where there is none: then no process ever
     *     finds another
     */
    public ProcessHandover(SnapshotExchange gateway, String folder, Clock clock) {
        this.gateway = gateway;
        this.files =
                folder == null || folder.isEmpty() ? Optional.empty() : Optional.of(new HandoverFiles(Path.of(folder)));
        this.clock = clock;
    }

    /** Before anything that takes time: whoever serves now learns that it has a successor. */
    public void begin() {
        predecessor = files.flatMap(HandoverFiles::readClaim)
                .filter(claim -> isAlive(claim.process()))
                .map(Claim::process)
                .orElse(NO_PROCESS);
        gateway.runsBesideAnother(predecessor != NO_PROCESS);
        writeClaim(false);
    }

    /** What is left of the longest warm-up in ms: a successor has to serve in time, from its process's start. */
    public long warmUpLimitMs(long longestMs) {
        if (predecessor == NO_PROCESS) {
            return longestMs;
        }
        double startedAtMs = ProcessHandle.current()
                .info()
                .startInstant()
                .map(instant -> (double) instant.toEpochMilli())
                .orElse(clock.now());
        return Math.max(0, Math.min(longestMs, (long) (startedAtMs + SUCCESSOR_READY_MS - clock.now())));
    }

    /** The snapshot that the predecessor left; empty where there is none of now. */
    public Optional<PolicySnapshot> predecessorSnapshot() {
        Optional<PolicySnapshot> fresh =
                readSnapshot().filter(snapshot -> Math.abs(clock.now() - snapshot.takenAtMs()) <= SNAPSHOT_MAX_AGE_MS);
        fresh.ifPresent(snapshot -> restoredAtMs = snapshot.takenAtMs());
        return fresh;
    }

    /** Clients are served from now on. */
    public void startServing() {
        writeClaim(true);
        if (files.isPresent()) {
            executor.scheduleWithFixedDelay(this::exchange, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** At the end: whether a successor serves clients; if so, it finds a snapshot of now. */
    public boolean hasServingSuccessor() {
        Optional<Claim> successor = findSuccessor();
        if (successor.isPresent()) {
            writeSnapshot();
        }
        return successor.map(Claim::serving).orElse(false);
    }

    /** Nothing is read or written from now on. */
    public void end() throws InterruptedException {
        executor.shutdownNow();
        executor.awaitTermination(PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void exchange() {
        try {
            restoreFromPredecessor();
            boolean hasSuccessor = findSuccessor().isPresent();
            if (!hasSuccessor && !isOwnClaim()) {
                writeClaim(true); // the successor ended, and the next one is to find this process
            }
            gateway.runsBesideAnother(hasSuccessor || predecessor != NO_PROCESS);
            if (hasSuccessor && predecessor == NO_PROCESS) { // one writer at a time
                writeSnapshot();
            }
        } catch (RuntimeException e) { // the executor would not run a task again that throws
            LOG.error("unexpected exception", "cause", e);
        }
    }

    private void restoreFromPredecessor() {
        if (predecessor == NO_PROCESS) {
            return;
        }
        boolean ended = !isAlive(predecessor); // before its file is read, so that its last snapshot is not missed
        Optional<PolicySnapshot> later = readSnapshot().filter(snapshot -> snapshot.takenAtMs() > restoredAtMs);
        if (later.isPresent()) {
            restoredAtMs = later.get().takenAtMs();
            gateway.restoreSnapshot(later.get());
        }
        if (ended) {
            predecessor = NO_PROCESS;
        }
    }

    private Optional<PolicySnapshot> readSnapshot() {
        return files.flatMap(HandoverFiles::readSnapshot);
    }

    private boolean isOwnClaim() {
        return files.flatMap(HandoverFiles::readClaim)
                .filter(claim -> claim.process() == ownProcess)
                .isPresent();
    }

    private void writeSnapshot() {
        try {
            files.orElseThrow().writeSnapshot(gateway.takeSnapshot());
            failing = false;
        } catch (IOException | ExecutionException e) {
            logFirst("snapshot not written", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeClaim(boolean serving) {
        if (files.isEmpty()) {
            return;
        }
        try {
            files.get().writeClaim(new Claim(ownProcess, serving));
        } catch (IOException e) {
            logFirst("claim not written", e);
        }
    }

    /** One line for a row of failures. */
    private void logFirst(String message, Exception cause) {
        if (!failing) {
            LOG.warn(message, "cause", cause);
        }
        failing = true;
    }

    /** The claim of a later process of this gateway that lives. */
    private Optional<Claim> findSuccessor() {
        return files.flatMap(HandoverFiles::readClaim)
                .filter(claim -> claim.process() != ownProcess)
                .filter(claim -> isAlive(claim.process()));
    }

    private static boolean isAlive(long process) {
        return ProcessHandle.of(process).map(ProcessHandle::isAlive).orElse(false);
    }
}
