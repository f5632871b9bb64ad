package caperrudder.server;

import caperrudder.server.config.GatewayConfig;
import caperrudder.server.runtime.HangupSignal;
import caperrudder.server.runtime.Log;

/**
 * SIGHUP: the file of the configuration was replaced. It is read on the signal's own thread, so that no request
 * waits for it, and a file that can't be used changes nothing.
 */
final class ConfigurationReloader {
    private static final Log LOG = Log.of("config");
    private final String file;
    private GatewayServer node;
    private boolean due; // SIGHUP came before there was a node to tell

    private ConfigurationReloader(String file) {
        this.file = file;
    }

    /** Takes the signal from now on. */
    static ConfigurationReloader onHangup(String file) {
        ConfigurationReloader reload = new ConfigurationReloader(file);
        HangupSignal.onReceive(reload::again);
        return reload;
    }

    synchronized void follow(GatewayServer started) {
        node = started;
        if (due) {
            again();
        }
    }

    private synchronized void again() {
        due = node == null;
        if (due) {
            return;
        }
        try {
            node.reload(GatewayConfig.readAgain(file));
        } catch (GatewayConfig.BadConfig e) {
            LOG.warn("reload failed, configuration unchanged", "reason", e.getMessage());
        }
    }
}
