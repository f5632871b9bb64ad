package caperrudder.server.upstream;

import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.server.discovery.EndpointList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A pool for each host that the endpoint list names, in the order in which they were first named. */
final class ConnectionPools {
    private final Map<String, ConnectionPool> pools = new LinkedHashMap<>();

    boolean isEmpty() {
        return pools.isEmpty();
    }

    /** The pool of a host; null where the list does not name it. */
    ConnectionPool get(String host) {
        return pools.get(host);
    }

    /** Follows a list, or changes of it: a host that has moved or started anew gets a new pool. */
    void update(HostListKind kind, List<EndpointList.Entry> entries) {
        Set<String> named = new HashSet<>();
        for (EndpointList.Entry entry : entries) {
            named.add(entry.host().id());
            update(entry);
        }
        if (kind != HostListKind.CHANGES) {
            removeAllBut(named);
        }
    }

    private void update(EndpointList.Entry entry) {
        String id = entry.host().id();
        ConnectionPool old = pools.get(id);
        boolean same = old != null && old.matches(entry);
        if (entry.host().state() == HostState.GONE) {
            pools.remove(id);
            close(old);
        } else if (!same && entry.address() != null) {
            pools.put(id, new ConnectionPool(entry.address(), entry.host().startedAtMs()));
            close(old);
        }
        ConnectionPool now = pools.get(id);
        if (now != null) {
            now.setDraining(entry.host().state() == HostState.DRAINING);
        }
    }

    private void removeAllBut(Set<String> named) {
        pools.entrySet().removeIf(pool -> {
            boolean absent = !named.contains(pool.getKey());
            if (absent) {
                close(pool.getValue());
            }
            return absent;
        });
    }

    private static void close(ConnectionPool pool) {
        if (pool != null) {
            pool.close();
        }
    }

    /** Ends the connections that have been idle since before then. */
    void closeIdleSince(double beforeMs) {
        for (ConnectionPool pool : pools.values()) {
            pool.closeIdleSince(beforeMs);
        }
    }

    /** Ends one connection that is idle somewhere; false where there is none. */
    boolean closeOneIdle() {
        for (ConnectionPool pool : pools.values()) {
            if (pool.closeOldestIdle()) {
                return true;
            }
        }
        return false;
    }
}
