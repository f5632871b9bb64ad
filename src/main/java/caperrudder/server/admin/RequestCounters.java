package caperrudder.server.admin;

import caperrudder.api.RequestClass;
import caperrudder.server.admin.MetricsSnapshot.Ended;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The counts of one process, from 0 at its start. On the event loop only. */
public final class RequestCounters {
    /** How a request ended. */
    public enum End {
        ANSWERED,
        DEFERRED,
        ERRORED
    }

    private final Map<String, Map<End, Long>> ends = new LinkedHashMap<>();
    private long sends;

    public RequestCounters(List<RequestClass> classes) {
        classes.forEach(c -> ends.put(c.name(), new EnumMap<>(End.class)));
    }

    public void ended(String requestClass, End end) {
        ends.get(requestClass).merge(end, 1L, Long::sum);
    }

    public void sent() {
        sends++;
    }

    public long sends() {
        return sends;
    }

    public List<Ended> classes() {
        List<Ended> all = new ArrayList<>(ends.size());
        ends.forEach((name, n) -> all.add(new Ended(
                name,
                n.getOrDefault(End.ANSWERED, 0L),
                n.getOrDefault(End.DEFERRED, 0L),
                n.getOrDefault(End.ERRORED, 0L))));
        return all;
    }
}
