package caperrudder.policy;

import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The working attempts, by endpoint. Each holds a slot of the concurrency limit and is counted at its endpoint.
 * Endpoints are visited in the order in which they last became busy, attempts in the order in which their work began.
 * Confined to the policy's thread.
 */
final class OutstandingAttempts {
    private static final int TYPICAL_ATTEMPTS_PER_ENDPOINT = 4;

    private final Map<Endpoint, List<Attempt>> byEndpoint = new LinkedHashMap<>();
    private final ConcurrencyLimit limit;
    private final LoadBalancer loadBalancer;
    private final EventLoopStalls stalls;

    /** Receives the attempts that become overdue. It may begin and end attempts. */
    interface OverdueListener {
        void attemptOverdue(double now, Attempt attempt);
    }

    OutstandingAttempts(ConcurrencyLimit limit, LoadBalancer loadBalancer, EventLoopStalls stalls) {
        this.limit = limit;
        this.loadBalancer = loadBalancer;
        this.stalls = stalls;
    }

    /** Records that the endpoint begins to work on an attempt; does nothing if it already does. */
    void startWork(double now, Attempt attempt) {
        if (attempt.isWorking()) return;
        attempt.startWork(now, stalls.totalMs());
        byEndpoint
                .computeIfAbsent(attempt.endpoint(), endpoint -> new ArrayList<>(TYPICAL_ATTEMPTS_PER_ENDPOINT))
                .add(attempt);
        loadBalancer.attemptStarted(attempt.endpoint(), attempt.expectedWorkMs());
        limit.acquire();
    }

    /** Records the end of the endpoint's work on an attempt; does nothing if the attempt is not working. */
    void endWork(Attempt attempt) {
        if (!attempt.isWorking()) return;
        attempt.endWork();
        limit.release();
        List<Attempt> atEndpoint = byEndpoint.get(attempt.endpoint());
        atEndpoint.remove(attempt);
        if (atEndpoint.isEmpty()) byEndpoint.remove(attempt.endpoint());
        loadBalancer.attemptFinished(attempt.endpoint(), attempt.expectedWorkMs());
    }

    /** Notifies the listener of each attempt that has become overdue since the last call. */
    void detectOverdue(double now, OverdueListener listener) {
        for (Endpoint endpoint : new ArrayList<>(byEndpoint.keySet())) {
            for (Attempt attempt : new ArrayList<>(byEndpoint.getOrDefault(endpoint, List.of()))) {
                if (attempt.isOverdue() || !takesTooLong(now, attempt)) continue;
                attempt.markOverdue();
                listener.attemptOverdue(now, attempt);
            }
        }
    }

    private boolean takesTooLong(double now, Attempt attempt) {
        double elapsedMs = attempt.elapsedMs(now, stalls.totalMs());
        return loadBalancer.isOverdue(now, attempt.endpoint(), attempt.expectedWorkMs(), elapsedMs);
    }
}
