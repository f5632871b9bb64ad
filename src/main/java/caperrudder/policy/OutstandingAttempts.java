package caperrudder.policy;

import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The attempts at work, by endpoint. Each takes a slot of the concurrency limit and counts at its endpoint. Endpoints
 * stand in the order in which they got work, attempts in the order in which they began. Confined to the policy's
 * thread.
 */
final class OutstandingAttempts {
    private static final int USUAL_PER_ENDPOINT = 4;

    private final Map<Endpoint, List<Attempt>> byEndpoint = new LinkedHashMap<>();
    private final ConcurrencyLimit limit;
    private final LoadBalancer loadBalancer;
    private final EventLoopStalls stalls;

    /** Is notified of each attempt that becomes overdue; it may begin and end attempts. */
    interface OverdueListener {
        void overdue(double now, Attempt attempt);
    }

    OutstandingAttempts(ConcurrencyLimit limit, LoadBalancer loadBalancer, EventLoopStalls stalls) {
        this.limit = limit;
        this.loadBalancer = loadBalancer;
        this.stalls = stalls;
    }

    /** The endpoint begins to work on an attempt, unless it has begun. */
    void begin(double now, Attempt attempt) {
        if (attempt.isWorking()) return;
        attempt.beginWork(now, stalls.totalMs());
        byEndpoint
                .computeIfAbsent(attempt.endpoint(), endpoint -> new ArrayList<>(USUAL_PER_ENDPOINT))
                .add(attempt);
        loadBalancer.attemptStarted(attempt.endpoint(), attempt.expectedWorkMs());
        limit.acquire();
    }

    /** The endpoint's work on an attempt ends, if it has begun. */
    void end(Attempt attempt) {
        if (!attempt.isWorking()) return;
        attempt.endWork();
        limit.release();
        List<Attempt> atEndpoint = byEndpoint.get(attempt.endpoint());
        atEndpoint.remove(attempt);
        if (atEndpoint.isEmpty()) byEndpoint.remove(attempt.endpoint());
        loadBalancer.attemptFinished(attempt.endpoint(), attempt.expectedWorkMs());
    }

    /** Finds the attempts that have become overdue since the last call. */
    void detectOverdue(double now, OverdueListener listener) {
        for (Endpoint endpoint : new ArrayList<>(byEndpoint.keySet())) {
            for (Attempt attempt : new ArrayList<>(byEndpoint.getOrDefault(endpoint, List.of()))) {
                if (attempt.isOverdue() || !isLate(now, attempt)) continue;
                attempt.markOverdue();
                listener.overdue(now, attempt);
            }
        }
    }

    private boolean isLate(double now, Attempt attempt) {
        double elapsedMs = attempt.elapsedMs(now, stalls.totalMs());
        return loadBalancer.isOverdue(now, attempt.endpoint(), attempt.expectedWorkMs(), elapsedMs);
    }
}
