package caperrudder.server;

import caperrudder.api.ClusterHealth;
import caperrudder.api.PolicyEvents;
import caperrudder.api.PolicyLoad;
import caperrudder.api.PolicySnapshot;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.FatalErrorHandler;
import caperrudder.server.runtime.Log;
import java.util.ArrayDeque;

/**
 * Hands events to the policy in order and never from inside itself: what its own actions bring about at once waits
 * until it has returned. On the event loop only.
 */
final class PolicyEventQueue {
    private static final Log LOG = Log.of("gateway");

    /** Something of which the policy is to be notified. */
    @FunctionalInterface
    interface Event {
        /** {@code nowMs}: the time at which the policy is notified. */
        void deliver(double nowMs, PolicyEvents policy);
    }

    private final Clock clock;
    private final ArrayDeque<Event> pending = new ArrayDeque<>();
    private PolicyEvents policy;
    private boolean delivering;

    PolicyEventQueue(Clock clock) {
        this.clock = clock;
    }

    /** Once, before the first event: the policy, whose actions may post events here. */
    void connect(PolicyEvents receiver) {
        policy = receiver;
    }

    /** Delivers the event now, or behind those that are being delivered. */
    void post(Event event) {
        pending.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = pending.poll(); next != null; next = pending.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(Event event) {
        try {
            event.deliver(clock.now(), policy);
        } catch (RuntimeException e) { // the guard of its deadline still answers the request concerned
            LOG.error("event handler threw", "cause", e);
            e.printStackTrace();
        } catch (Error e) {
            FatalErrorHandler.check(e);
            throw e;
        }
    }

    /** The hosts as the policy sees them now. */
    ClusterHealth clusterHealth() {
        return policy.clusterHealth(clock.now());
    }

    /** What the policy holds for requests now. */
    PolicyLoad load() {
        return policy.load();
    }

    /** What the next process of this gateway is to know. */
    PolicySnapshot takeSnapshot() {
        return policy.takeSnapshot(clock.now());
    }
}
