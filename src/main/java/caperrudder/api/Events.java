package caperrudder.api;

import java.util.List;

/** Everything that a gateway sees; {@code now} is the only clock, in milliseconds. */
public interface Events {
    void start(double now, Settings settings);

    void hosts(double now, ListKind kind, List<Host> hosts);

    void request(double now, Request request);

    /** The last byte of a request that was arriving has come; its client waits from now on. */
    void requestWhole(double now, String id, double deadlineMs);

    /** A part of a request that was arriving has left for a host and is kept nowhere: it can't be sent again. */
    void requestSpent(double now, String id);

    /** The first bytes of an answer go to the client: the rest follows, or the answer breaks. */
    void streamStarted(double now, String id, int attempt);

    void attemptEnded(double now, AttemptResult result);

    void clientLeft(double now, String id);

    void timer(double now, String token);

    default void probed(double now, String host, Outcome outcome, double latencyMs, double[] report) {}

    void peerSaid(double now, int peer, byte[] data);

    default void counted(double now, String counter, Outcome outcome, double total) {}

    /** What the process before this one knew, as of its latest word; it may go on using what both share. */
    void inherited(double now, Books books);

    /** Asks and tells nothing, as does the next. */
    Cluster cluster(double now);

    Books books(double now);
}
