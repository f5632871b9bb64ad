package caperrudder.policy;

import caperrudder.api.HealthSnapshot;
import caperrudder.api.Host;
import caperrudder.api.HostState;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A host as this gateway sees it; of one that it has sent nothing to it holds little but the list's word. */
final class Endpoint {
    Set<Attempt> out = Set.of(); // changed by hold and let go alone
    Host info;
    boolean listed;
    boolean counted; // stands among the open ones of the table
    double outWork;
    double reported; // requests that it held, of all gateways, as it last told
    double reportedAt = State.NEVER;
    private OutlierScore health;
    private Map<String, OutlierScore> byClass = Map.of();
    double coldAt = State.NEVER;
    double turns; // saved up while it is cold; one is worth a request

    Endpoint(Host info) {
        this.info = info;
    }

    void hold(Attempt a) {
        if (out.isEmpty()) out = new LinkedHashSet<>(4);
        out.add(a);
    }

    void letGo(Attempt a) {
        if (!out.isEmpty()) out.remove(a);
    }

    OutlierScore health() {
        if (health == null) health = new OutlierScore();
        return health;
    }

    OutlierScore of(TrafficClass c) {
        return of(c.spec.name());
    }

    /** For one class, or where its name is empty for all. */
    OutlierScore of(String requestClass) {
        if (requestClass.isEmpty()) return health();
        if (byClass.isEmpty()) byClass = new TreeMap<>();
        return byClass.computeIfAbsent(requestClass, n -> new OutlierScore());
    }

    double slowness(double now) {
        return health == null ? 1 : health.slowness(now);
    }

    /** Failures tell of a class on a host, which may serve the others as before; slow answers of the host. */
    double slowness(double now, TrafficClass c) {
        OutlierScore ofClass = judged(c);
        return slowness(now) * (ofClass == null ? 1 : ofClass.slowness(now));
    }

    /** As last judged for all classes, or null. */
    OutlierScore judged() {
        return health;
    }

    /** As last judged for one class, or null. */
    OutlierScore judged(TrafficClass c) {
        return byClass.isEmpty() ? null : byClass.get(c.spec.name());
    }

    /** True where its host was sent nothing that tells of it. */
    boolean untried() {
        return health == null && byClass.isEmpty() && out.isEmpty();
    }

    void writeHealth(List<HealthSnapshot> to) {
        if (health != null) to.add(new HealthSnapshot(info.id(), "", health.slow, health.at, health.failures));
        byClass.forEach((c, h) -> to.add(new HealthSnapshot(info.id(), c, h.slow, h.at, h.failures)));
    }

    boolean open() {
        return listed && info.state() == HostState.RUNNING;
    }
}
