package caperrudder.policy.loadbalancing;

import caperrudder.api.AttemptResult;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Scores the endpoints by the results of attempts (DESIGN, Trouble). It keeps the set of endpoints under observation:
 * those that were sent an attempt, have started recently or had scores in a snapshot. All others count as healthy.
 */
final class OutlierDetector {
    private static final double LATENCY_GAIN = 0.12; // weight of one response
    private static final double FAILURE_GAIN = 0.4; // weight of an error, a rejection or an overdue attempt
    private static final double CONNECT_FAILURE_GAIN = 1; // ejects at the second failure in a row
    private static final double CLEARED_PENALTY = 1.3; // a success clears the failures of a class only below this

    private final Set<String> classNames = new LinkedHashSet<>();
    private final Set<Endpoint> observed = new LinkedHashSet<>();

    OutlierDetector(List<RequestClass> classes) {
        for (RequestClass requestClass : classes) classNames.add(requestClass.name());
    }

    /** Adds an endpoint to those under observation. */
    void startObserving(Endpoint endpoint) {
        observed.add(endpoint);
    }

    /** Removes an endpoint from those under observation; it keeps its scores. */
    void stopObserving(Endpoint endpoint) {
        observed.remove(endpoint);
    }

    /** Removes the endpoints that match from those under observation. */
    void stopObservingIf(Predicate<Endpoint> condition) {
        observed.removeIf(condition);
    }

    /** Returns the capacity lost to slow start and ejection, as a number of warm healthy endpoints. */
    double missingCapacity(double now, SlowStart slowStart) {
        return observed.stream()
                .filter(Endpoint::isUsable)
                .mapToDouble(endpoint -> endpoint.latencyPenalty(now) < OutlierScore.EJECTION_PENALTY
                        ? 1 - slowStart.capacityShare(endpoint, now)
                        : 1)
                .sum();
    }

    /** Returns the number of usable endpoints that are ejected for at least one request class. */
    int ejectedCount(double now) {
        int count = 0;
        for (Endpoint endpoint : observed) if (endpoint.isUsable() && isEjected(now, endpoint)) count++;
        return count;
    }

    private boolean isEjected(double now, Endpoint endpoint) {
        for (String name : classNames) {
            if (endpoint.latencyPenalty(now, name) >= OutlierScore.EJECTION_PENALTY) return true;
        }
        return false;
    }

    /** Scores an endpoint by the result of an attempt that was expected to take {@code expectedWorkMs}. */
    void recordResult(
            double now, Endpoint endpoint, RequestClass requestClass, double expectedWorkMs, AttemptResult result) {
        switch (result.outcome()) {
            case OK -> {
                double penalty = result.latencyMs() / Math.max(1, expectedWorkMs);
                recordSuccess(now, endpoint.scores(), requestClass.name(), penalty);
            }
                // A host that refuses connections repeatedly is down or full, and serves no class of requests.
            case CONNECT_FAILED -> endpoint.scores().overall().recordFailure(CONNECT_FAILURE_GAIN, now);
            case REJECTED -> endpoint.scores().overall().record(OutlierScore.EJECTION_PENALTY, FAILURE_GAIN, now);
            case ERROR, RESET, TIMEOUT -> recordError(now, endpoint.scores(), requestClass.name());
            default -> {} // says nothing about the host
        }
    }

    private static void recordSuccess(double now, EndpointScores scores, String className, double penalty) {
        scores.overall().record(penalty, LATENCY_GAIN, now);
        scores.overall().clearFailures();
        OutlierScore classScore = scores.of(className);
        classScore.record(1, LATENCY_GAIN, now);
        // Even a host that fails most requests serves some, so one success does not clear its failures.
        if (classScore.latencyPenalty(now) < CLEARED_PENALTY) classScore.clearFailures();
    }

    private void recordError(double now, EndpointScores scores, String className) {
        scores.of(className).recordFailure(FAILURE_GAIN, now);
        // In a large fleet, a gateway uses each host too seldom to eject it class by class.
        int failingClasses = 0;
        for (String name : classNames) if (scores.of(name).hasFailures()) failingClasses++; // of() creates scores
        if (failingClasses > 1) scores.overall().record(OutlierScore.MAX_PENALTY, FAILURE_GAIN, now);
    }

    /** Scores an endpoint by an attempt that has taken far longer than expected and has not ended. */
    void recordOverdue(double now, Endpoint endpoint, RequestClass requestClass) {
        endpoint.scores().of(requestClass.name()).recordFailure(FAILURE_GAIN, now);
    }

    /** Returns the scores of the listed endpoints under observation. */
    List<HealthSnapshot> takeSnapshot() {
        List<HealthSnapshot> snapshots = new ArrayList<>();
        for (Endpoint endpoint : observed) if (endpoint.isListed()) endpoint.appendSnapshots(snapshots);
        return snapshots;
    }

    /** Restores scores, and observes their endpoints. Ignores the scores of unknown hosts and classes. */
    void restore(double now, List<HealthSnapshot> snapshots, EndpointTable table) {
        for (HealthSnapshot snapshot : snapshots) {
            Endpoint endpoint = table.find(snapshot.hostId());
            if (endpoint == null || !isKnownClass(snapshot.requestClass())) continue;
            endpoint.scores().of(snapshot.requestClass()).restore(snapshot, now);
            startObserving(endpoint);
        }
    }

    private boolean isKnownClass(String name) {
        return name.equals(EndpointScores.ALL_CLASSES) || classNames.contains(name);
    }
}
