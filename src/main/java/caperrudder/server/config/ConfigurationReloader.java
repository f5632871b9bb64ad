package caperrudder.server.config;

import caperrudder.server.runtime.HangupSignal;
import caperrudder.server.runtime.Log;

/**
 * Reads the configuration again at SIGHUP, when its file was replaced. It is read on the signal's own thread, so that
 * no request waits for it; a file that can't be used changes nothing.
 */
public final class ConfigurationReloader {
    private static final Log LOG = Log.of("config");

    private final String file;
    private Listener listener;
    private boolean pending; // SIGHUP came before there was a listener

    /** Is notified of a new configuration. */
    @FunctionalInterface
    public interface Listener {
        /** Without the known endpoints; on the signal's thread or on the one that follows. */
        void configurationChanged(GatewayConfig config);
    }

    private ConfigurationReloader(String file) {
        this.file = file;
    }

    /** Takes SIGHUP from now on, which ends a process that does not. */
    public static ConfigurationReloader onHangup(String file) {
        ConfigurationReloader reloader = new ConfigurationReloader(file);
        HangupSignal.onReceive(reloader::reload);
        return reloader;
    }

    /** Notifies {@code newListener} from now on, and at once where SIGHUP has come before. */
    public synchronized void follow(Listener newListener) {
        listener = newListener;
        if (pending) {
            reload();
        }
    }

    private synchronized void reload() {
        pending = listener == null;
        if (pending) {
            return;
        }
        try {
            listener.configurationChanged(GatewayConfig.readWithoutEndpoints(file));
        } catch (ConfigurationException e) {
            LOG.warn("reload failed, configuration unchanged", "reason", e.getMessage());
        }
    }
}
