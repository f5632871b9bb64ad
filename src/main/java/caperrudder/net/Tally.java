package caperrudder.net;

import caperrudder.api.RequestClass;
import caperrudder.net.Figures.Ended;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The counts of one process, from 0 at its start. On the event loop only. */
final class Tally {
    /** How a request ended. */
    enum End {
        ANSWERED,
        DEFERRED,
        ERRORED
    }

    private final Map<String, Map<End, Long>> ends = new LinkedHashMap<>();
    private long sends;

    Tally(List<RequestClass> classes) {
        classes.forEach(c -> ends.put(c.name(), new EnumMap<>(End.class)));
    }

    void ended(String requestClass, End end) {
        ends.get(requestClass).merge(end, 1L, Long::sum);
    }

    void sent() {
        sends++;
    }

    long sends() {
        return sends;
    }

    List<Ended> classes() {
        List<Ended> all = new ArrayList<>(ends.size());
        ends.forEach((name, n) -> all.add(new Ended(
                name,
                n.getOrDefault(End.ANSWERED, 0L),
                n.getOrDefault(End.DEFERRED, 0L),
                n.getOrDefault(End.ERRORED, 0L))));
        return all;
    }
}
