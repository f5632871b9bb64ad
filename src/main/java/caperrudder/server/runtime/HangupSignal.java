package caperrudder.server.runtime;

import sun.misc.Signal;

/**
 * SIGHUP. The one class that uses {@code sun.misc.Signal}: Java has no other way to a signal, and all releases keep
 * this one (module {@code jdk.unsupported}).
 */
public final class HangupSignal {
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /** Runs {@code action} at each SIGHUP, on a thread of its own, in place of ending the process. */
    public static void onReceive(Runnable action) {
        Signal.handle(new Signal(NAME), signal -> action.run());
    }
}
