package caperrudder.api;

import java.util.List;

/**
 * The events that the policy handles. {@code now} is the time of the event in milliseconds; it never decreases, and the
 * policy reads no other clock. All calls are made from one thread, and no event is delivered while another one is being
 * handled. An event for a request, attempt or host that is no longer known is ignored.
 */
public interface PolicyEvents {
    /** Starts the policy. Called once, before any other event. */
    void start(double now, Settings settings);

    /**
     * A list of hosts has arrived, or the call for it has failed.
     *
     * @param hosts the hosts that {@code kind} describes; empty if the call failed
     */
    void hostsUpdated(double now, HostListKind kind, List<Host> hosts);

    /** A request has arrived; its body may still be incomplete. */
    void requestReceived(double now, Request request);

    /**
     * The rest of a request has arrived that was received with an incomplete body. Its client waits from now on.
     *
     * @param deadlineAtMs when the client gives up
     */
    void requestBodyCompleted(double now, String id, double deadlineAtMs);

    /**
     * A part of an incomplete request has been forwarded to a host without being buffered, so the request can't be sent
     * to another host any more.
     */
    void requestNotReplayable(double now, String id);

    /** The first bytes of an attempt's response are sent to the client, so no other attempt can answer the request. */
    void responseStarted(double now, String id, int attempt);

    /** An attempt has ended with a response, an error or its cancellation. */
    void attemptEnded(double now, AttemptResult result);

    /** The client has disconnected, so its request needs no response any more. */
    void clientDisconnected(double now, String id);

    /**
     * The server has answered a request by itself, because its time is up or the gateway stops. The ends of all attempts
     * that the server has sent of it were reported before, and no other event of the request follows.
     */
    default void requestTerminated(double now, String id) {}

    /** A timer has fired; {@code token} is the one that it was started with. */
    void timerFired(double now, String token);

    /**
     * A health check has ended.
     *
     * @param latencyMs duration of the health check
     * @param report the host's load report, with its values in the order of {@link Settings#loadReportFields()}; empty
     *     if there is none. Must not be modified
     */
    default void healthCheckEnded(double now, String host, Outcome outcome, double latencyMs, double[] report) {}

    /**
     * A message from another gateway has arrived. A malformed message is ignored.
     *
     * @param peer index of the gateway, from 0
     */
    void peerMessageReceived(double now, int peer, byte[] data);

    /** A call to a shared counter has ended; {@code total} is the value of the counter after the call. */
    default void counterCallEnded(double now, String counter, Outcome outcome, double total) {}

    /**
     * Takes over the state of the predecessor. May be called again with a later snapshot, because the predecessor may
     * still admit requests from the quotas that both processes share.
     */
    void restoreSnapshot(double now, PolicySnapshot snapshot);

    /** Returns what the policy holds for requests. Changes no state and takes no action. */
    default PolicyLoad load() {
        return PolicyLoad.NONE;
    }

    /** Returns the number of known and of avoided hosts. Changes no state and takes no action. */
    ClusterHealth clusterHealth(double now);

    /**
     * Returns the state that a successor takes over. Takes no action, and changes no state except that the quotas in
     * the snapshot are refilled up to {@code now}.
     */
    PolicySnapshot takeSnapshot(double now);
}
