package caperrudder.api;

import java.util.List;

/** Everything that a gateway sees; {@code now} is the only clock, in milliseconds. */
public interface PolicyEvents {
    void start(double now, Settings settings);

    void hostsUpdated(double now, HostListKind kind, List<Host> hosts);

    void requestReceived(double now, Request request);

    /** The last byte of a request that was arriving has come; its client waits from now on. */
    void requestCompleted(double now, String id, double deadlineMs);

    /** A part of a request that was arriving has left for a host and is kept nowhere: it can't be sent again. */
    void requestNotReplayable(double now, String id);

    /** The first bytes of an answer go to the client: the rest follows, or the answer breaks. */
    void responseStarted(double now, String id, int attempt);

    void attemptEnded(double now, AttemptResult result);

    void clientDisconnected(double now, String id);

    void timerFired(double now, String token);

    default void healthCheckEnded(double now, String host, Outcome outcome, double latencyMs, double[] report) {}

    void peerMessageReceived(double now, int peer, byte[] data);

    default void counterUpdated(double now, String counter, Outcome outcome, double total) {}

    /** What the process before this one knew, as of its latest word; it may go on using what both share. */
    void restoreSnapshot(double now, Snapshot books);

    /** Asks and tells nothing, as does the next. */
    ClusterHealth clusterHealth(double now);

    Snapshot takeSnapshot(double now);
}
