package caperrudder.policy.loadbalancing;

import caperrudder.api.HealthSnapshot;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The outlier scores of one endpoint: one for all request classes and one for each class that has been observed.
 * Failures of a class tell of that class alone, since the endpoint may serve the others as before; slow answers tell
 * of the endpoint.
 */
final class EndpointScores {
    /** Names the score for all classes in a snapshot. */
    static final String ALL_CLASSES = "";

    private OutlierScore overall; // null until the first observation
    private Map<String, OutlierScore> byClass = Map.of(); // replaced by a map of its own on the first observation

    /** The score for all classes, created where there is none yet. */
    OutlierScore overall() {
        if (overall == null) overall = new OutlierScore();
        return overall;
    }

    /** The score for a class, or for {@link #ALL_CLASSES}; created where there is none yet. */
    OutlierScore of(String requestClass) {
        if (requestClass.isEmpty()) return overall();
        if (byClass.isEmpty()) byClass = new TreeMap<>();
        return byClass.computeIfAbsent(requestClass, name -> new OutlierScore());
    }

    /** The penalty over all classes, from 0 to {@link OutlierScore#MAX_PENALTY}; 1 where nothing was observed. */
    double latencyPenalty(double now) {
        return overall == null ? 1 : overall.latencyPenalty(now);
    }

    /** The penalty for a class: that over all classes times that of the class. */
    double latencyPenalty(double now, String requestClass) {
        OutlierScore ofClass = byClass.isEmpty() ? null : byClass.get(requestClass);
        return latencyPenalty(now) * (ofClass == null ? 1 : ofClass.latencyPenalty(now));
    }

    /** Forgets the penalty over all classes, if there is one. */
    void clearOverallPenalty() {
        if (overall != null) overall.clearPenalty();
    }

    void takeSnapshot(String hostId, List<HealthSnapshot> snapshots) {
        if (overall != null) snapshots.add(overall.takeSnapshot(hostId, ALL_CLASSES));
        byClass.forEach((requestClass, score) -> snapshots.add(score.takeSnapshot(hostId, requestClass)));
    }
}
