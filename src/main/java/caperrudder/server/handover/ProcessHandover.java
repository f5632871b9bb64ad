package caperrudder.server.handover;

import caperrudder.api.Snapshot;
import caperrudder.server.handover.HandoverFiles.Claim;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.Log;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The turn from one process of a gateway to the next. Its own thread reads and writes the files that they share;
 * the event loop only makes and takes books.
 */
public final class ProcessHandover {
    private static final Log LOG = Log.of("handover");
    private static final long BEAT_MS = 250;
    private static final double FRESH_MS = 5000; // older books are of a process that was gone before this one came
    private static final long YES_MS = 5000; // from a successor's start to its word that it serves; 6000 are allowed

    /** What of a node takes part. */
    public interface Party {
        Snapshot books() throws InterruptedException, ExecutionException;

        void inherit(Snapshot books);

        /** Whether another process of this gateway runs beside this one. */
        void beside(boolean other);
    }

    private final Party party;
    private final HandoverFiles files; // null: there is no folder to share
    private final Clock clock;
    private final long me = ProcessHandle.current().pid();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread t = new Thread(task, "succession");
        t.setDaemon(true);
        return t;
    });
    private long predecessor; // 0: none lives
    private double takenAt; // of the last books taken in
    private boolean failing;

    /** {@code folder} may be null or empty: then no process ever finds another. */
    public ProcessHandover(Party party, String folder, Clock clock) {
        this.party = party;
        this.files = folder == null || folder.isEmpty() ? null : new HandoverFiles(Path.of(folder));
        this.clock = clock;
    }

    /** Before anything that takes time: whoever serves now learns that it is to be followed. */
    public void begin() {
        Claim last = files == null ? null : files.claim();
        predecessor = last != null && lives(last.process()) ? last.process() : 0;
        party.beside(predecessor != 0);
        claim(false);
    }

    /** What is left of the longest warm-up: a successor has its time to say yes, from its process's start. */
    public long warmUpMs(long longest) {
        if (predecessor == 0) {
            return longest;
        }
        double startedMs = ProcessHandle.current()
                .info()
                .startInstant()
                .map(i -> (double) i.toEpochMilli())
                .orElse(clock.now());
        return Math.max(0, Math.min(longest, (long) (startedMs + YES_MS - clock.now())));
    }

    /** The books that were left; null where there are none of now. */
    public Snapshot left() {
        Snapshot b = files == null ? null : files.books();
        if (b == null || Math.abs(clock.now() - b.takenAtMs()) > FRESH_MS) {
            return null;
        }
        takenAt = b.takenAtMs();
        return b;
    }

    /** Clients are taken from now on. */
    public void serving() {
        claim(true);
        if (files != null) {
            thread.scheduleWithFixedDelay(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** At the end: whether another process takes the clients; if so, it finds the books as they are now. */
    public boolean isSucceeded() {
        Claim last = successor();
        if (last != null) {
            leave();
        }
        return last != null && last.serving();
    }

    /** Nothing is read or written from now on. */
    public void end() throws InterruptedException {
        thread.shutdownNow();
        thread.awaitTermination(BEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void beat() {
        try {
            if (predecessor != 0) {
                boolean ended = !lives(predecessor);
                Snapshot b = files.books(); // after that look, so that its last word is heard
                if (b != null && b.takenAtMs() > takenAt) {
                    takenAt = b.takenAtMs();
                    party.inherit(b);
                }
                predecessor = ended ? 0 : predecessor;
            }
            boolean followed = successor() != null;
            Claim last = files.claim();
            if (!followed && (last == null || last.process() != me)) {
                claim(true); // its successor ended, and the next one is to find this process
            }
            party.beside(followed || predecessor != 0);
            if (followed && predecessor == 0) { // one writer at a time
                leave();
            }
        } catch (RuntimeException e) { // a beat that throws would be the last
            LOG.error("unexpected exception", "cause", e);
        }
    }

    private void leave() {
        try {
            files.write(party.books());
            failing = false;
        } catch (IOException | ExecutionException e) {
            fault("snapshot not written", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void claim(boolean serving) {
        if (files != null) {
            try {
                files.write(new Claim(me, serving));
            } catch (IOException e) {
                fault("claim not written", e);
            }
        }
    }

    private void fault(String message, Exception cause) {
        if (!failing) {
            LOG.warn(message, "cause", cause);
        }
        failing = true;
    }

    /** Null where no later process of this gateway lives. */
    private Claim successor() {
        Claim last = files == null ? null : files.claim();
        return last != null && last.process() != me && lives(last.process()) ? last : null;
    }

    private static boolean lives(long process) {
        return ProcessHandle.of(process).map(ProcessHandle::isAlive).orElse(false);
    }
}
