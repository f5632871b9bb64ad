package caperrudder.api;

import java.util.List;

/**
 * Everything that a gateway sees. {@code now} is the only clock, in milliseconds, and never goes back; calls come one
 * at a time from one thread. An event for a request, attempt or host that is not known any more changes nothing.
 */
public interface PolicyEvents {
    /** The gateway starts, before all other events. */
    void start(double now, Settings settings);

    /** A list of hosts has come, or a call for it has failed. */
    void hostsUpdated(double now, HostListKind kind, List<Host> hosts);

    /** A request has come, or its head has. */
    void requestReceived(double now, Request request);

    /** The last byte of a request that was arriving has come; its client waits from now on. */
    void requestCompleted(double now, String id, double deadlineMs);

    /** A part of a request that was arriving has left for a host and is kept nowhere: it can't be sent again. */
    void requestNotReplayable(double now, String id);

    /** The first bytes of a response go to the client: no other attempt may answer it any more. */
    void responseStarted(double now, String id, int attempt);

    /** An attempt has ended, be it by a response, an error or a cancellation. */
    void attemptEnded(double now, AttemptResult result);

    /** The client has gone: its request needs no answer any more. */
    void clientDisconnected(double now, String id);

    /** A timer of the policy has run out; {@code token} is the one that it was started with. */
    void timerFired(double now, String token);

    /** A health check has ended; {@code report} is its load report, which may be empty. */
    default void healthCheckEnded(double now, String host, Outcome outcome, double latencyMs, double[] report) {}

    /** A message from another gateway has come; a malformed one changes nothing. */
    void peerMessageReceived(double now, int peer, byte[] data);

    /** A call to a shared counter has ended; {@code total} is its value after the call. */
    default void counterUpdated(double now, String counter, Outcome outcome, double total) {}

    /** The snapshot of the process before this one has come; that process may still use the quotas that both share. */
    void restoreSnapshot(double now, Snapshot snapshot);

    /** Counts the hosts; neither this nor the next method acts or changes anything. */
    ClusterHealth clusterHealth(double now);

    /** What the next process is to know. */
    Snapshot takeSnapshot(double now);
}
