package caperrudder.server.admin;

import caperrudder.api.RequestClass;
import caperrudder.server.admin.MetricsSnapshot.EndedRequests;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What one process has done, counted from 0 at its start. On the event loop only. */
public final class RequestCounters {
    /** How a request ended. */
    public enum End {
        /** A host's answer was served. */
        ANSWERED,
        /** Rejected: the client may retry later. */
        DEFERRED,
        /** Failed, or left by its client. */
        ERRORED
    }

    private final Map<String, Map<End, Long>> endedByClass = new LinkedHashMap<>();
    private long attemptsSent;

    /** Counters of these classes, in their order. */
    public RequestCounters(List<RequestClass> classes) {
        classes.forEach(requestClass -> endedByClass.put(requestClass.name(), new EnumMap<>(End.class)));
    }

    /** A request of a known class ended. */
    public void ended(String requestClass, End end) {
        endedByClass.get(requestClass).merge(end, 1L, Long::sum);
    }

    /** An attempt was written whole to a host. */
    public void sent() {
        attemptsSent++;
    }

    /** Attempts that were written whole. */
    public long sends() {
        return attemptsSent;
    }

    /** The requests that ended, by class. */
    public List<EndedRequests> classes() {
        List<EndedRequests> classes = new ArrayList<>(endedByClass.size());
        endedByClass.forEach((requestClass, ended) -> classes.add(new EndedRequests(
                requestClass,
                ended.getOrDefault(End.ANSWERED, 0L),
                ended.getOrDefault(End.DEFERRED, 0L),
                ended.getOrDefault(End.ERRORED, 0L))));
        return classes;
    }
}
