package caperrudder.server.upstream;

import caperrudder.server.discovery.EndpointList;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;

/** The connections to one host at one address in one incarnation of its process. */
final class ConnectionPool {
    private static final double REST_MS = 10; // a response's second copy comes up to some milliseconds after it

    private final InetSocketAddress address;
    private final double startedAtMs;
    /** The last used at the end; it begins small, since a gateway asks few of the hosts in a long list. */
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(0);

    private boolean closed;
    private boolean draining;

    ConnectionPool(InetSocketAddress address, double startedAtMs) {
        this.address = address;
        this.startedAtMs = startedAtMs;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Whether it leads to the same process at the same address as the entry tells. */
    boolean matches(EndpointList.Entry entry) {
        return address.equals(entry.address()) && startedAtMs == entry.host().startedAtMs();
    }

    void setDraining(boolean drains) {
        draining = drains;
    }

    /** Whether its host, in the same incarnation, still takes new work. */
    boolean takesNew() {
        return !closed && !draining;
    }

    boolean isClosed() {
        return closed;
    }

    /** Ends what is idle at once; what is in use ends with its exchange. */
    void close() {
        closed = true;
        List.copyOf(idle).forEach(UpstreamConnection::close);
    }

    /** The last used that has rested, taken out; null where there is none. */
    UpstreamConnection pollRested(double nowMs) {
        Iterator<UpstreamConnection> latest = idle.descendingIterator();
        while (latest.hasNext()) {
            UpstreamConnection connection = latest.next();
            if (nowMs - connection.idleSinceMs() >= REST_MS) {
                latest.remove();
                return connection;
            }
        }
        return null;
    }

    /** Ends those that have been idle since before then. */
    void closeIdleSince(double beforeMs) {
        while (!idle.isEmpty() && idle.peekFirst().idleSinceMs() < beforeMs) {
            idle.pollFirst().close();
        }
    }

    /** Ends the one that has been idle for longest; false where none is. */
    boolean closeOldestIdle() {
        UpstreamConnection oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /** The connection may carry another exchange from now on. */
    void addIdle(UpstreamConnection connection) {
        idle.addLast(connection);
    }

    /** The connection has ended. */
    void remove(UpstreamConnection connection) {
        idle.remove(connection);
    }
}
