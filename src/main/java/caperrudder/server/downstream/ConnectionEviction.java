package caperrudder.server.downstream;

import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.ProtectionCounters;
import caperrudder.server.runtime.ProtectionCounters.Reason;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decides which client connections stay open: those that are silent or idle for too long end, and where no descriptor
 * is left for a new one, others give way. A connection in use never does, and one whose request comes slowly only
 * after all that have stopped. A crowd whose connections come and go must not push out those that bring most of the
 * requests. On the event loop only.
 */
@SuppressWarnings({"NonApiType", "ReferenceEquality"}) // the order of these sets is what they are for, each is itself
final class ConnectionEviction {
    private static final double PRESSURE_SHARE = 0.5; // of the connections that fit: then idle ones end early
    private static final double IDLE_MIN_MS = 2200; // idle for so long, a connection may be closed for room
    private static final double IDLE_MAX_MS = 20_000; // idle for so long, it is closed

    private final Clock clock;
    private final IntSupplier maxConnections;
    private final ProtectionCounters protections;
    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<ClientConnection> unused = new LinkedHashSet<>(); // no whole request came yet
    private final LinkedHashSet<ClientConnection> usedOnce = new LinkedHashSet<>(); // idle; or for health checks alone
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>(); // those that ask again and again
    private final LinkedHashSet<ClientConnection> lingering = new LinkedHashSet<>(); // their output has ended
    /** Who gives way first; in each set the one stands first that has sent nothing for longest. */
    private final List<LinkedHashSet<ClientConnection>> order = List.of(unused, usedOnce, idle);

    /** {@code maxConnections} may change while another process of this gateway shares the descriptors. */
    ConnectionEviction(Clock clock, IntSupplier maxConnections, ProtectionCounters protections) {
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.protections = protections;
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    // ---- what connections tell

    /** Takes a new connection in; false where there is no room for it and nobody gives way. */
    boolean add(ClientConnection connection) {
        if (connections.size() >= maxConnections.getAsInt() && !makeRoom()) {
            protections.count(Reason.NO_DESCRIPTOR);
            return false;
        }
        connections.add(connection);
        unused.add(connection);
        return true;
    }

    /** It is closed. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
        lingering.remove(connection);
        exempt(connection);
    }

    /** It has something to do or ends, and does not give way until it is idle again. */
    void exempt(ClientConnection connection) {
        unused.remove(connection);
        usedOnce.remove(connection);
        idle.remove(connection);
    }

    /** It gives way from now on, behind the others of its kind. */
    void idle(ClientConnection connection, boolean usedAgain) {
        (usedAgain ? idle : usedOnce).add(connection);
    }

    /** Its output has ended, and only its client's end is waited for. */
    void lingers(ClientConnection connection) {
        lingering.add(connection);
    }

    /** Something has come on it. */
    void progressed(ClientConnection connection) {
        if (unused.remove(connection)) {
            unused.add(connection);
        }
    }

    // ---- who ends

    /** Silence, and a request that does not get on, end here; so do idle connections, sooner where there are many. */
    void sweep() {
        double now = clock.now();
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.isOverdue(now)) {
                connection.timeOut();
            }
        }
        boolean pressed = connections.size() > maxConnections.getAsInt() * PRESSURE_SHARE;
        closeIdle(usedOnce, now - IDLE_MIN_MS);
        closeIdle(idle, now - (pressed ? IDLE_MIN_MS : IDLE_MAX_MS));
    }

    private void closeIdle(LinkedHashSet<ClientConnection> from, double sinceMs) {
        for (ClientConnection c = first(from); c != null && c.idleSinceMs() < sinceMs; c = first(from)) {
            evict(c, from, false); // it leaves the set either way
        }
    }

    /** Ends every connection on which nothing is asked, and whose last response the kernel has taken. */
    void closeIdle() {
        for (LinkedHashSet<ClientConnection> from : order) {
            List.copyOf(from).forEach(connection -> evict(connection, from, false));
        }
    }

    /** Ends this connection if nothing is asked on it. */
    void closeIfIdle(ClientConnection connection) {
        for (LinkedHashSet<ClientConnection> from : order) {
            if (from.contains(connection)) {
                evict(connection, from, false);
                return;
            }
        }
    }

    /** Ends every connection on which no whole request is open: what is unfinished will not be served any more. */
    void closeUnfinished() {
        List.copyOf(connections).forEach(ClientConnection::closeUnfinished);
    }

    private static ClientConnection first(LinkedHashSet<ClientConnection> from) {
        return from.isEmpty() ? null : from.iterator().next();
    }

    /** Rather a silent connection, then one that asked once, then an idle one, than no descriptor left for anyone. */
    private boolean makeRoom() {
        if (!lingering.isEmpty()) {
            first(lingering).closeNow();
            return true;
        }
        for (LinkedHashSet<ClientConnection> from : order) {
            for (ClientConnection c = first(from); c != null; c = first(from)) {
                if (evict(c, from, true)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Ends a connection unless something has just come: closing that away would lose it. What had stopped inside a
     * request may be {@code forced}.
     */
    private boolean evict(ClientConnection connection, LinkedHashSet<ClientConnection> from, boolean forced) {
        int before = connection.messages();
        boolean evictable = connection.isEvictable(forced);
        if (evictable && forced) {
            protections.count(Reason.EVICTED);
            connection.closeNow(); // its end is reported only later
        } else if (evictable) {
            connection.closeGently();
        } else {
            from.remove(connection); // it is being asked something, or just was and answered at once
            if (connection.messages() > before || connection.isOwed()) {
                connection.rest();
            } else if (from == unused) {
                from.add(connection);
            }
        }
        return evictable;
    }
}
