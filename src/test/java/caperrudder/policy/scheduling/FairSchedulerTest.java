package caperrudder.policy.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.RequestClass;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Fairness between classes, the order within a class, and requests without a destination. */
class FairSchedulerTest {
    private static final double NOW = 1000;

    private final TrafficClass light = trafficClass("light", 0.25);
    private final TrafficClass heavy = trafficClass("heavy", 0.75);
    private final List<TrafficClass> classes = List.of(light, heavy);
    private final ConcurrencyLimit limit = new ConcurrencyLimit(NOW, 1, classes);
    private final List<String> dispatched = new ArrayList<>();
    private final Set<String> withoutDestination = new HashSet<>();
    private final FairScheduler<QueuedRequest, String> scheduler =
            new FairScheduler<>(classes, limit, new DispatchRecorder());

    private record QueuedRequest(String name, TrafficClass trafficClass) implements Schedulable {
        @Override
        public double expectedWorkMs() {
            return 10;
        }
    }

    private final class DispatchRecorder implements Dispatcher<QueuedRequest, String> {
        @Override
        public String findDestination(double now, QueuedRequest request) {
            return withoutDestination.contains(request.name()) ? null : "host";
        }

        @Override
        public void dispatch(double now, QueuedRequest request, String destination) {
            dispatched.add(request.name());
            limit.acquire();
        }
    }

    private static TrafficClass trafficClass(String name, double weight) {
        RequestClass requestClass =
                new RequestClass(name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1000, 3000, 1, 0, false);
        return new TrafficClass(requestClass, weight, 4);
    }

    private void enqueue(TrafficClass trafficClass, String... names) {
        for (String name : names) {
            scheduler.enqueue(new QueuedRequest(name, trafficClass));
        }
    }

    @Test
    void backloggedClassesAreDispatchedInProportionToTheirWeights() {
        enqueue(light, "l1", "l2", "l3", "l4");
        enqueue(heavy, "h1", "h2", "h3", "h4", "h5", "h6");
        scheduler.dispatch(NOW, 8);
        assertEquals(List.of("l1", "h1", "h2", "h3", "l2", "h4", "h5", "h6"), dispatched);
    }

    @Test
    void nothingIsDispatchedWhileNoSlotIsFree() {
        enqueue(light, "l1", "l2");
        scheduler.dispatch(NOW, 1);
        scheduler.dispatch(NOW, 1);
        assertEquals(List.of("l1"), dispatched);
        limit.release();
        scheduler.dispatch(NOW, 1);
        assertEquals(List.of("l1", "l2"), dispatched);
    }

    @Test
    void requestWithoutDestinationIsSkippedAndKeepsItsPosition() {
        withoutDestination.add("l1");
        enqueue(light, "l1", "l2");
        scheduler.dispatch(NOW, 8);
        assertEquals(List.of("l2"), dispatched);
        withoutDestination.clear();
        enqueue(light, "l3");
        scheduler.dispatch(NOW, 8);
        assertEquals(List.of("l2", "l1", "l3"), dispatched);
    }

    @Test
    void requeuedRequestIsDispatchedFirstAndRemovedRequestNever() {
        QueuedRequest removed = new QueuedRequest("l2", light);
        enqueue(light, "l1");
        scheduler.enqueue(removed);
        scheduler.requeue(new QueuedRequest("l0", light));
        scheduler.remove(removed);
        scheduler.dispatch(NOW, 8);
        assertEquals(List.of("l0", "l1"), dispatched);
    }

    @Test
    void idleClassEarnsNoCredit() {
        enqueue(heavy, "h1", "h2", "h3", "h4", "h5", "h6", "h7");
        scheduler.dispatch(NOW, 6);
        enqueue(light, "l1", "l2");
        scheduler.dispatch(NOW, 9);
        assertEquals(List.of("l1", "h7", "l2"), dispatched.subList(6, 9));
    }
}
