package caperrudder.server.runtime;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes what the libraries log as lines of {@link Log}. The JDK's own handler reads the time zones' file for its first
 * line: where that line says that no descriptor is left, reading would fail and end the event loop.
 */
public final class LibraryLog extends Handler {
    private static final Log LOG = Log.of("library");

    private LibraryLog() {}

    /** Takes the place of the JDK's handlers for all that is logged from now on. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LibraryLog());
    }

    @Override
    public void publish(LogRecord entry) {
        Throwable thrown = entry.getThrown();
        FatalErrorHandler.check(thrown);
        Object[] fields = thrown == null ? new Object[0] : new Object[] {"cause", thrown};
        int level = entry.getLevel().intValue();
        if (level >= Level.SEVERE.intValue()) {
            LOG.error(entry.getMessage(), fields);
        } else if (level >= Level.WARNING.intValue()) {
            LOG.warn(entry.getMessage(), fields);
        } else {
            LOG.info(entry.getMessage(), fields);
        }
    }

    /** Nothing is kept back. */
    @Override
    public void flush() {}

    /** There is nothing to close. */
    @Override
    public void close() {}
}
