package caperrudder.server.runtime;

/**
 * Ends a process that can't go on: at once, with one plain line. The event loop's library takes an error for a fault of
 * one connection or one task, and a main thread that ends leaves the loops running: the process would neither serve
 * nor end. What runs out of heap where nobody here hears of it is ended by the virtual machine, see {@code run}.
 */
public final class FatalErrorHandler {
    private static final Log LOG = Log.of("process");
    private static final int EXIT = 1;
    private static final String DIRECT = "direct";
    private static volatile boolean armed; // before, the process is somebody else's

    private FatalErrorHandler() {}

    /** To be called by the main thread of a process that is nothing but a gateway. */
    public static void arm() {
        Thread main = Thread.currentThread();
        armed = true;
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            check(thrown);
            if (thread == main) {
                end(thrown);
            }
            LOG.error("thread died", "thread", thread.getName(), "cause", thrown);
        });
    }

    /** Ends the process where {@code thrown}, which may be null, or what it came of is an error. */
    public static void check(Throwable thrown) {
        for (Throwable t = thrown; armed && t != null; t = t.getCause()) {
            if (t instanceof Error && !isOfBuffers(t)) {
                end(t);
            }
        }
    }

    /** Memory beside the heap that has run out costs one connection, and is there again once that is closed. */
    private static boolean isOfBuffers(Throwable t) {
        return t instanceof OutOfMemoryError
                && t.getMessage() != null
                && t.getMessage().contains(DIRECT);
    }

    private static void end(Throwable thrown) {
        try {
            LOG.fatal("can't continue", "cause", thrown);
        } finally { // also where there is no memory for the line
            Runtime.getRuntime().halt(EXIT);
        }
    }
}
