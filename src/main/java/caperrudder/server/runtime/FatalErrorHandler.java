package caperrudder.server.runtime;

/**
 * Ends a process that can't continue: at once, with one log line and exit code 1. Netty takes an {@link Error} for a
 * fault of one connection or one task, and a main thread that ends leaves the event loops running: without this class
 * the process would neither serve nor end. A heap that is exhausted where none of this code learns of it is handled by
 * the virtual machine itself ({@code -XX:+ExitOnOutOfMemoryError} of the deploy file's {@code run}).
 *
 * <p>May be called by any thread. In a process that has not called {@link #arm()}, such as a test run, nothing is
 * ended.
 */
public final class FatalErrorHandler {
    private static final Log LOG = Log.of("process");
    private static final int EXIT_CODE = 1;
    /** Part of the message of an {@link OutOfMemoryError} that concerns memory beside the heap. */
    private static final String DIRECT_MEMORY = "direct";

    private static volatile boolean armed;

    private FatalErrorHandler() {}

    /** To be called by the main thread of a process that is nothing but a gateway. */
    public static void arm() {
        Thread main = Thread.currentThread();
        armed = true;
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            check(thrown);
            if (thread == main) {
                exit(thrown);
            }
            LOG.error("thread died", "thread", thread.getName(), "cause", thrown);
        });
    }

    /** Ends the process where {@code thrown}, which may be null, or one of its causes is an {@link Error}. */
    public static void check(Throwable thrown) {
        for (Throwable cause = thrown; armed && cause != null; cause = cause.getCause()) {
            if (cause instanceof Error && !isOutOfDirectMemory(cause)) {
                exit(cause);
            }
        }
    }

    /** Direct memory that is exhausted costs one connection, and is available again once that is closed. */
    private static boolean isOutOfDirectMemory(Throwable thrown) {
        return thrown instanceof OutOfMemoryError
                && thrown.getMessage() != null
                && thrown.getMessage().contains(DIRECT_MEMORY);
    }

    private static void exit(Throwable thrown) {
        try {
            LOG.fatal("can't continue", "cause", thrown);
        } finally { // also where there is no memory for the line
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
