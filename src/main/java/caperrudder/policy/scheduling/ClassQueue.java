package caperrudder.policy.scheduling;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * The queue of one traffic class, with its virtual time and the rate at which it drains. Confined to the policy's
 * thread.
 */
final class ClassQueue<R extends Schedulable> {
    private static final double NEVER = Double.NEGATIVE_INFINITY;
    private static final double DISPATCH_GAP_GAIN = 0.1; // weight of one sample in the moving average

    private final TrafficClass trafficClass;
    private final ArrayDeque<R> queue = new ArrayDeque<>();
    private double virtualTime; // dispatched work in milliseconds, divided by the class's weight
    private double lastDispatchAt = NEVER; // NEVER if that dispatch emptied the queue
    private double dispatchGapMs; // moving average of the time between dispatches from a backlogged queue

    ClassQueue(TrafficClass trafficClass) {
        this.trafficClass = trafficClass;
    }

    double virtualTime() {
        return virtualTime;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Appends a request. If the queue was empty, the virtual time of the class is raised to that of the scheduler, so
     * that a class earns no credit while it is idle.
     */
    void addLast(R request, double schedulerVirtualTime) {
        if (queue.isEmpty()) virtualTime = Math.max(virtualTime, schedulerVirtualTime);
        queue.addLast(request);
    }

    /** Inserts a request at the head. */
    void addFirst(R request) {
        queue.addFirst(request);
    }

    void remove(R request) {
        queue.remove(request);
    }

    /** Iterates over the queued requests, head first. */
    Iterator<R> iterator() {
        return queue.iterator();
    }

    /** Returns a copy of the queued requests that meet a condition, head first. */
    List<R> matching(Predicate<R> condition) {
        return queue.stream().filter(condition).toList();
    }

    /** Charges the class for a request that has just left the queue. */
    void recordDispatch(double now, R request) {
        virtualTime +=
                request.expectedWorkMs() / trafficClass.schedulingWeight().weight();
        boolean backlogged = !queue.isEmpty();
        if (backlogged && lastDispatchAt > NEVER) {
            dispatchGapMs += DISPATCH_GAP_GAIN * (now - lastDispatchAt - dispatchGapMs);
        }
        lastDispatchAt = backlogged ? now : NEVER;
    }

    /**
     * Returns the estimated time in milliseconds until all requests now in the queue are dispatched, from the recent
     * dispatch rate; 0 while no rate is known.
     */
    double drainTimeMs() {
        return queue.size() * dispatchGapMs;
    }
}
