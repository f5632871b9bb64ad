package caperrudder.policy.scheduling;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * The queue of one traffic class, its virtual time and the pace at which it drains. Confined to the policy's thread.
 */
final class ClassQueue<R extends Schedulable> {
    private static final double NEVER = Double.NEGATIVE_INFINITY;
    private static final double GAP_GAIN = 0.1; // weight of one dispatch in the mean gap between dispatches

    private final TrafficClass trafficClass;
    private final ArrayDeque<R> queue = new ArrayDeque<>();
    private double virtualTime; // work dispatched, in milliseconds, over the class's weight
    private double dispatchedAt = NEVER; // the last dispatch, while others have been waiting since
    private double dispatchGapMs; // moving average while the queue is backlogged

    ClassQueue(TrafficClass trafficClass) {
        this.trafficClass = trafficClass;
    }

    double virtualTime() {
        return virtualTime;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Appends; a class that has been idle saves up no turns from before {@code schedulerTime}. */
    void addLast(R request, double schedulerTime) {
        if (queue.isEmpty()) virtualTime = Math.max(virtualTime, schedulerTime);
        queue.addLast(request);
    }

    void addFirst(R request) {
        queue.addFirst(request);
    }

    void remove(R request) {
        queue.remove(request);
    }

    Iterator<R> iterator() {
        return queue.iterator();
    }

    List<R> matching(Predicate<R> condition) {
        return queue.stream().filter(condition).toList();
    }

    /** Charges the class for a request that has just left the queue. */
    void noteDispatched(double now, R request) {
        virtualTime += request.expectedWorkMs() / trafficClass.weight().weight();
        boolean backlogged = !queue.isEmpty();
        if (backlogged && dispatchedAt > NEVER) {
            dispatchGapMs += GAP_GAIN * (now - dispatchedAt - dispatchGapMs);
        }
        dispatchedAt = backlogged ? now : NEVER;
    }

    /** Time in which all that waits now will have been dispatched, by the recent pace. */
    double drainTimeMs() {
        return queue.size() * dispatchGapMs;
    }
}
