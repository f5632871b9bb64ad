package caperrudder.policy.scheduling;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Weighted fair queueing between traffic classes, work-conserving: while a slot of the concurrency limit is free, the
 * backlogged class with the least virtual time goes next (DESIGN: Release). A class's virtual time is the work that it
 * had dispatched over its weight. Confined to the policy's thread; the dispatcher may call back into the scheduler.
 *
 * @param <R> what waits in the queues
 * @param <D> where it may go
 */
public final class FairScheduler<R extends Schedulable, D> {
    private static final int MAX_SCANNED =
            16; // requests passed over in a queue, a turn, as no destination may take them
    private static final int NONE = -1;

    private final List<ClassQueue<R>> queues = new ArrayList<>(); // in the order of the settings
    private final IdentityHashMap<TrafficClass, ClassQueue<R>> queueByClass = new IdentityHashMap<>();
    private final ConcurrencyLimit limit;
    private final Dispatcher<R, D> dispatcher;
    private double virtualTime; // of the class that last had its turn, never falling

    /** With an empty queue for each class; between equal virtual times the first of the list goes first. */
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

    /** Puts a request that has left the queue of its class back to its head, for a retry. */
    public void requeue(R request) {
        queueOf(request.trafficClass()).addFirst(request);
    }

    /** Takes a request from the queue of its class, if it waits there. */
    public void remove(R request) {
        queueOf(request.trafficClass()).remove(request);
    }

    /** The requests that wait in a class's queue and meet a condition, from the head on, as they stand now. */
    public List<R> waiting(TrafficClass trafficClass, Predicate<R> condition) {
        return queueOf(trafficClass).matching(condition);
    }

    /**
     * Time in milliseconds in which all that waits in a class's queue will have been dispatched, by the recent pace.
     */
    public double drainTimeMs(TrafficClass trafficClass) {
        return queueOf(trafficClass).drainTimeMs();
    }

    /** Dispatches what may leave while fewer than {@code slots} attempts are in flight. */
    public void dispatch(double now, double slots) {
        boolean[] blocked = new boolean[queues.size()]; // no destination for any of the first in the queue
        while (limit.inUse() < slots) {
            int next = nextInTurn(blocked);
            if (next == NONE) return;
            if (!dispatchFrom(now, queues.get(next))) blocked[next] = true;
        }
        limit.noteSaturated();
    }

    private int nextInTurn(boolean[] blocked) {
        int next = NONE;
        for (int i = 0; i < blocked.length; i++) {
            ClassQueue<R> queue = queues.get(i);
            boolean earlier =
                    next == NONE || queue.virtualTime() < queues.get(next).virtualTime();
            if (earlier && !queue.isEmpty() && !blocked[i]) next = i;
        }
        return next;
    }

    private boolean dispatchFrom(double now, ClassQueue<R> queue) {
        Iterator<R> waiting = queue.iterator();
        for (int scanned = 0; scanned < MAX_SCANNED && waiting.hasNext(); scanned++) {
            R request = waiting.next();
            D destination = dispatcher.findDestination(now, request);
            if (destination == null) continue;
            waiting.remove();
            virtualTime = Math.max(virtualTime, queue.virtualTime());
            queue.noteDispatched(now, request);
            dispatcher.dispatch(now, request, destination);
            return true;
        }
        return false;
    }
}
