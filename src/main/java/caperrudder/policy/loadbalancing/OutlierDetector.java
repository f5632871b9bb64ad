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
 * Scores the endpoints by how attempts end (DESIGN, Trouble). It keeps the set of endpoints under observation: those
 * that were sent something or have started lately, beside which an endpoint is as good as any other.
 */
final class OutlierDetector {
    private static final double LATENCY_GAIN = 0.12; // weight of one answer in the penalty
    private static final double FAILURE_GAIN = 0.4; // weight of a failure, a rejection or an overdue attempt
    private static final double CERTAIN = 1; // weight of a failed connection: the host takes nothing now
    private static final double CLEARED_PENALTY = 1.3; // below it a further failure is a first one again

    private final Set<String> classNames = new LinkedHashSet<>();
    private final Set<Endpoint> observed = new LinkedHashSet<>();

    OutlierDetector(List<RequestClass> classes) {
        for (RequestClass requestClass : classes) classNames.add(requestClass.name());
    }

    void observe(Endpoint endpoint) {
        observed.add(endpoint);
    }

    void forget(Endpoint endpoint) {
        observed.remove(endpoint);
    }

    /** Ends the observation of those of which nothing is known any more. */
    void forgetIf(Predicate<Endpoint> settled) {
        observed.removeIf(settled);
    }

    /** Capacity that the endpoints under observation lack, in warm healthy endpoints. */
    double missingCapacity(double now, SlowStart slowStart) {
        return observed.stream()
                .filter(Endpoint::isUsable)
                .mapToDouble(endpoint -> endpoint.latencyPenalty(now) < OutlierScore.EJECTION_PENALTY
                        ? 1 - slowStart.capacity(endpoint, now)
                        : 1)
                .sum();
    }

    /** Usable endpoints that have done so badly at a class that others come before them. */
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

    /** Scores an endpoint by the end of an attempt that was expected to take so long, in ms. */
    void recordResult(
            double now, Endpoint endpoint, RequestClass requestClass, double expectedWorkMs, AttemptResult result) {
        switch (result.outcome()) {
            case OK -> {
                double penalty = result.latencyMs() / Math.max(1, expectedWorkMs);
                recordSuccess(now, endpoint.scores(), requestClass.name(), penalty);
            }
                // No connection, and again none: down or full, the host takes nothing from this gateway now.
            case CONNECT_FAILED -> endpoint.scores().overall().recordFailure(CERTAIN, now);
            case REJECTED -> endpoint.scores().overall().record(OutlierScore.EJECTION_PENALTY, FAILURE_GAIN, now);
            case ERROR, RESET, TIMEOUT -> recordError(now, endpoint.scores(), requestClass.name());
            default -> {} // tells nothing of the host
        }
    }

    private static void recordSuccess(double now, EndpointScores scores, String className, double penalty) {
        scores.overall().record(penalty, LATENCY_GAIN, now);
        scores.overall().clearFailures();
        OutlierScore ofClass = scores.of(className);
        ofClass.record(1, LATENCY_GAIN, now);
        // A host that fails most requests at once serves some: one good answer clears it of nothing.
        if (ofClass.latencyPenalty(now) < CLEARED_PENALTY) ofClass.clearFailures();
    }

    private void recordError(double now, EndpointScores scores, String className) {
        scores.of(className).recordFailure(FAILURE_GAIN, now);
        // Among many gateways each meets a host too seldom to eject it class by class.
        int failing = 0;
        for (String name : classNames) if (scores.of(name).hasFailures()) failing++; // creates scores for all classes
        if (failing > 1) scores.overall().record(OutlierScore.MAX_PENALTY, FAILURE_GAIN, now);
    }

    /** Scores an endpoint by an attempt that has taken far longer than expected and goes on. */
    void recordOverdue(double now, Endpoint endpoint, RequestClass requestClass) {
        endpoint.scores().of(requestClass.name()).recordFailure(FAILURE_GAIN, now);
    }

    List<HealthSnapshot> takeSnapshot() {
        List<HealthSnapshot> snapshots = new ArrayList<>();
        for (Endpoint endpoint : observed) if (endpoint.isListed()) endpoint.takeSnapshot(snapshots);
        return snapshots;
    }

    /** Takes over scores; those of hosts and classes that are not known here are passed over. */
    void restore(double now, List<HealthSnapshot> snapshots, EndpointTable table) {
        for (HealthSnapshot snapshot : snapshots) {
            Endpoint endpoint = table.find(snapshot.host());
            if (endpoint == null || !isKnownClass(snapshot.requestClass())) continue;
            endpoint.scores().of(snapshot.requestClass()).restore(snapshot, now);
            observe(endpoint);
        }
    }

    private boolean isKnownClass(String name) {
        return name.equals(EndpointScores.ALL_CLASSES) || classNames.contains(name);
    }
}
