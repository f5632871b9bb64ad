package caperrudder.policy.scheduling;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Weighted fair queueing between traffic classes. It is work-conserving: while a slot of the concurrency limit is free,
 * it serves the backlogged class with the smallest virtual time (DESIGN: Release). The virtual time of a class is the
 * work that was dispatched for it, divided by its weight. Confined to the policy's thread. The dispatcher may call back
 * into the scheduler.
 *
 * @param <R> type of the queued requests
 * @param <D> type of the destinations
 */
public final class FairScheduler<R extends Schedulable, D> {
    private static final int MAX_SCANNED_REQUESTS = 16; // per queue and turn, while no destination may take them
    private static final int NO_QUEUE = -1;

    private final List<ClassQueue<R>> queues = new ArrayList<>(); // in the order of the settings
    private final IdentityHashMap<TrafficClass, ClassQueue<R>> queueByClass = new IdentityHashMap<>();
    private final ConcurrencyLimit limit;
    private final Dispatcher<R, D> dispatcher;
    private double virtualTime; // of the class served last; never decreases

    /**
     * Creates an empty queue for each class. Of the classes with equal virtual times, the first listed is served first.
     */
    public FairScheduler(List<TrafficClass> classes, ConcurrencyLimit limit, Dispatcher<R, D> dispatcher) {
        this.limit = limit;
        this.dispatcher = dispatcher;
        for (TrafficClass trafficClass : classes) {
            ClassQueue<R> queue = new ClassQueue<>(trafficClass);
            queues.add(queue);
            queueByClass.put(trafficClass, queue);
        }
    }

    private ClassQueue<R> queueOf(TrafficClass trafficClass) {
        return queueByClass.get(trafficClass);
    }

    /** Appends a request to the queue of its class. */
    public void enqueue(R request) {
        queueOf(request.trafficClass()).addLast(request, virtualTime);
    }

    /** Puts a request back at the head of the queue of its class, for a retry. */
    public void requeue(R request) {
        queueOf(request.trafficClass()).addFirst(request);
    }

    /** Removes a request from the queue of its class; does nothing if it is not queued. */
    public void remove(R request) {
        queueOf(request.trafficClass()).remove(request);
    }

    /** Returns a copy of the requests in the queue of a class that meet a condition, head first. */
    public List<R> queuedRequests(TrafficClass trafficClass, Predicate<R> condition) {
        return queueOf(trafficClass).matching(condition);
    }

    /**
     * Returns the estimated time in milliseconds until all requests now in the queue of a class are dispatched, from
     * the recent dispatch rate.
     */
    public double drainTimeMs(TrafficClass trafficClass) {
        return queueOf(trafficClass).drainTimeMs();
    }

    /** Dispatches queued requests while fewer than {@code slots} attempts are in flight. */
    public void dispatch(double now, double slots) {
        boolean[] blocked = new boolean[queues.size()]; // queues in which no scanned request has a destination
        while (limit.inUse() < slots) {
            int next = nextQueue(blocked);
            if (next == NO_QUEUE) return;
            if (!dispatchFrom(now, queues.get(next))) blocked[next] = true;
        }
        limit.recordSaturation();
    }

    /** Returns the index of the queue with the smallest virtual time that is neither empty nor blocked. */
    private int nextQueue(boolean[] blocked) {
        int next = NO_QUEUE;
        for (int i = 0; i < blocked.length; i++) {
            ClassQueue<R> queue = queues.get(i);
            boolean earlier =
                    next == NO_QUEUE || queue.virtualTime() < queues.get(next).virtualTime();
            if (earlier && !queue.isEmpty() && !blocked[i]) next = i;
        }
        return next;
    }

    private boolean dispatchFrom(double now, ClassQueue<R> queue) {
        Iterator<R> waiting = queue.iterator();
        for (int scanned = 0; scanned < MAX_SCANNED_REQUESTS && waiting.hasNext(); scanned++) {
            R request = waiting.next();
            D destination = dispatcher.findDestination(now, request);
            if (destination == null) continue;
            waiting.remove();
            virtualTime = Math.max(virtualTime, queue.virtualTime());
            queue.recordDispatch(now, request);
            dispatcher.dispatch(now, request, destination);
            return true;
        }
        return false;
    }
}
