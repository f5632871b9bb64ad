package caperrudder.policy.loadbalancing;

import caperrudder.api.HealthSnapshot;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The outlier scores of one endpoint: one for all request classes, and one for each class that has been observed.
 * Errors and overdue attempts count against their class only, since the endpoint may still serve the others. Slow
 * responses, rejections and failures to connect count against all classes, and so do errors of several classes.
 */
final class EndpointScores {
    /** The class name that stands for the score of all classes in a snapshot. */
    static final String ALL_CLASSES = "";

    private OutlierScore overall; // null until the first observation
    private Map<String, OutlierScore> byClass = Map.of(); // immutable until a class is first observed

    /** Returns the score for all classes, which is created if there is none. */
    OutlierScore overall() {
        if (overall == null) overall = new OutlierScore();
        return overall;
    }

    /** Returns the score for a class or {@link #ALL_CLASSES}, which is created if there is none. */
    OutlierScore of(String requestClass) {
        if (requestClass.isEmpty()) return overall();
        if (byClass.isEmpty()) byClass = new TreeMap<>();
        return byClass.computeIfAbsent(requestClass, name -> new OutlierScore());
    }

    /** Returns the penalty over all classes, from 0 to {@link OutlierScore#MAX_PENALTY}; 1 if there is no score. */
    double latencyPenalty(double now) {
        return overall == null ? 1 : overall.latencyPenalty(now);
    }

    /** Returns the penalty for a class: the penalty over all classes times that of the class. */
    double latencyPenalty(double now, String requestClass) {
        OutlierScore classScore = byClass.isEmpty() ? null : byClass.get(requestClass);
        return latencyPenalty(now) * (classScore == null ? 1 : classScore.latencyPenalty(now));
    }

    /** Resets the penalty over all classes to 1. */
    void clearOverallPenalty() {
        if (overall != null) overall.clearPenalty();
    }

    /** Appends the scores to {@code snapshots}. */
    void appendSnapshots(String hostId, List<HealthSnapshot> snapshots) {
        if (overall != null) snapshots.add(overall.toSnapshot(hostId, ALL_CLASSES));
        byClass.forEach((requestClass, score) -> snapshots.add(score.toSnapshot(hostId, requestClass)));
    }
}
