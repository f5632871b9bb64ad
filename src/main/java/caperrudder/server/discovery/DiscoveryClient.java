package caperrudder.server.discovery;

import caperrudder.api.HostListKind;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Follows the endpoint list of discovery: polls it once, then watches it without a break (page DEPLOY). A poll that
 * fails is retried after a backoff. Beside one that is silent a hedged poll is sent on a second connection, and
 * whichever is answered first is followed: a poll that only waits in a queue keeps its place, and one that an agent left
 * unanswered while it was cut off may still be answered at its return.
 *
 * <p>On the event loop only, but for the constructor.
 */
public final class DiscoveryClient {
    /** In place of a version: the whole list is still to come. */
    static final long NO_VERSION = -1;

    private final EventLoop loop;
    private final DiscoveryTimings timings;
    private final EndpointListener listener;
    private final Promise<Void> answered; // once there is a first answer
    private InetSocketAddress agent;
    private DiscoveryConnection current; // what comes of an earlier one is ignored
    private DiscoveryConnection hedge; // beside the current one that is silent, or null
    private int failures; // since the last good answer
    private boolean movedSinceAnswer; // the agent has changed, and the new one has not answered yet
    private long version; // of the list that is held

    /**
     * A client that does nothing before {@link #start}.
     *
     * @param agent where discovery is served
     * @param known the list that is held from the start on
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress agent,
            DiscoveryTimings timings,
            Optional<EndpointList> known,
            EndpointListener listener) {
        this.loop = loop;
        this.agent = agent;
        this.timings = timings;
        this.listener = listener;
        this.answered = loop.newPromise();
        this.version = known.map(DiscoveryClient::versionOf).orElse(NO_VERSION);
    }

    /**
     * Of a list that holds something: where a fleet starts, all poll, and what has changed since is a fraction of the
     * whole list. It would be wrong only where an agent numbers anew, which is shown by a full list or an error.
     */
    private static long versionOf(EndpointList known) {
        return known.entries().isEmpty() ? NO_VERSION : known.version();
    }

    /** Begins to follow; the future is done with the first answer, or after {@code patienceMs} without one. */
    public Future<Void> start(long patienceMs) {
        current = connect();
        loop.schedule(() -> answered.trySuccess(null), patienceMs, TimeUnit.MILLISECONDS);
        return answered;
    }

    /** Turns to another agent, whose versions need not go on from those of the old one: the whole list is due. */
    public void moveTo(InetSocketAddress newAgent) {
        if (newAgent.equals(agent)) {
            return;
        }
        DiscoveryConnection oldCurrent = current;
        DiscoveryConnection oldHedge = hedge;
        agent = newAgent;
        version = NO_VERSION;
        failures = 0;
        movedSinceAnswer = true;
        hedge = null;
        current = connect();
        oldCurrent.close();
        if (oldHedge != null) {
            oldHedge.close();
        }
    }

    private DiscoveryConnection connect() {
        DiscoveryConnection connection = new DiscoveryConnection(this, loop, timings);
        connection.connect(agent);
        return connection;
    }

    // ---- what connections report

    /** Whether the answers of a connection are used: those of an agent that was left may be older than the list. */
    boolean isFollowed(DiscoveryConnection connection) {
        return connection == current || connection == hedge;
    }

    boolean isCurrent(DiscoveryConnection connection) {
        return connection == current;
    }

    /** Whether no poll has failed since the last good answer. */
    boolean isFirstFailure() {
        return failures == 0;
    }

    long version() {
        return version;
    }

    /** The next poll asks for the whole list. */
    void forgetVersion() {
        version = NO_VERSION;
    }

    /** A connection has been silent for too long: the current one is hedged, and a hedge is given up. */
    void onSilence(DiscoveryConnection connection) {
        if (connection == hedge) {
            connection.close();
        } else if (connection == current) {
            openHedge();
        }
    }

    private void openHedge() {
        if (hedge == null) {
            hedge = connect();
            hedge.expectAnswerWithin(timings.hedgeMs());
        }
    }

    /** A connection has ended, or was never there. */
    void onClosed(DiscoveryConnection connection) {
        if (connection == hedge) {
            hedge = null;
            DiscoveryConnection silent = current;
            retryLater(connection, true, () -> {
                if (silent == current) {
                    openHedge();
                }
            });
        } else if (connection == current && hedge != null) {
            current = hedge;
            hedge = null;
        } else if (connection == current) {
            retryLater(connection, movedSinceAnswer, () -> {
                if (connection == current) {
                    current = connect();
                }
            });
        }
    }

    private void retryLater(DiscoveryConnection failed, boolean overdue, Runnable retry) {
        int earlierFailures = failures++;
        long backoffMs = failed.wasListTooLong()
                ? timings.tooLongBackoffMs()
                : timings.backoffMs(failed.retryAfterMs(), earlierFailures, overdue);
        loop.schedule(retry, backoffMs, TimeUnit.MILLISECONDS);
    }

    /**
     * A list has come whole: its connection is followed from now on, and the other one is left.
     *
     * @throws IOException where the list can't be true
     */
    void accept(DiscoveryConnection connection, EndpointList list) throws IOException {
        if (list.full() && list.entries().isEmpty() && listener.hasEndpoints()) {
            throw new IOException("an empty list"); // a fleet with no host at all is less likely than a fault
        }
        DiscoveryConnection other = connection == current ? hedge : current;
        current = connection;
        hedge = null;
        failures = 0;
        movedSinceAnswer = false;
        if (other != null) {
            other.close();
        }
        answered.trySuccess(null);
        version = list.version();
    }

    /** Hands an accepted list on; called once the next poll is on its way, so that no change falls between. */
    void deliver(EndpointList list) {
        if (list.full() || !list.entries().isEmpty()) {
            listener.endpointsUpdated(list.full() ? HostListKind.FULL : HostListKind.CHANGES, list.entries());
        }
    }
}
