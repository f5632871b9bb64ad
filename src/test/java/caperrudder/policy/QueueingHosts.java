package caperrudder.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Hosts of limited capacity: each shares its cores evenly among the requests that it holds, so answers slow. */
final class QueueingHosts {
    private final int cores;
    private final List<Host> hosts = new ArrayList<>();

    /** A request at work: its remaining work shrinks at its share of the host's cores. */
    private static final class Host {
        private final Map<String, Double> remaining = new TreeMap<>();
        private double at;
        private int changes;
    }

    /** The request that a host ends next, unless what it holds has changed by then. */
    record Completion(int host, double at, String request, int changes) {}

    QueueingHosts(int count, int cores) {
        this.cores = cores;
        for (int i = 0; i < count; i++) {
            hosts.add(new Host());
        }
    }

    private double speed(Host host) {
        return Math.min(1, (double) cores / Math.max(1, host.remaining.size()));
    }

    private void advance(Host host, double now) {
        double done = (now - host.at) * speed(host);
        host.remaining.replaceAll((request, work) -> work - done);
        host.at = now;
    }

    void begin(int host, double now, String request, double workMs) {
        Host at = hosts.get(host);
        advance(at, now);
        at.remaining.put(request, workMs);
        at.changes++;
    }

    void end(int host, double now, String request) {
        Host at = hosts.get(host);
        advance(at, now);
        at.remaining.remove(request);
        at.changes++;
    }

    boolean isCurrent(Completion completion) {
        return hosts.get(completion.host()).changes == completion.changes();
    }

    /** Null where the host holds nothing. */
    Completion next(int host) {
        Host at = hosts.get(host);
        double rate = speed(at);
        return at.remaining.entrySet().stream()
                .min(Map.Entry.comparingByValue())
                .map(e -> new Completion(host, at.at + Math.max(0, e.getValue()) / rate, e.getKey(), at.changes))
                .orElse(null);
    }
}
