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

/** Turns between classes, the order within one, and what waits where no destination may take it. */
class FairSchedulerTest {
    private static final double NOW = 1000;

    private final TrafficClass light = trafficClass("light", 0.25);
    private final TrafficClass heavy = trafficClass("heavy", 0.75);
    private final List<TrafficClass> classes = List.of(light, heavy);
    private final ConcurrencyLimit limit = new ConcurrencyLimit(NOW, 1, classes);
    private final List<String> dispatched = new ArrayList<>();
    private final Set<String> unplaceable = new HashSet<>();
    private final FairScheduler<Work, String> scheduler = new FairScheduler<>(classes, limit, new Recorder());

    private record Work(String name, TrafficClass trafficClass) implements Schedulable {
        @Override
        public double expectedWorkMs() {
            return 10;
        }
    }

    private final class Recorder implements Dispatcher<Work, String> {
        @Override
        public String findDestination(double now, Work work) {
            return unplaceable.contains(work.name()) ? null : "host";
        }

        @Override
        public void dispatch(double now, Work work, String destination) {
            dispatched.add(work.name());
            limit.acquire();
        }
    }

    private static TrafficClass trafficClass(String name, double weight) {
        RequestClass spec =
                new RequestClass(name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1000, 3000, 1, 0, false);
        return new TrafficClass(spec, weight, 4);
    }

    private void enqueue(TrafficClass trafficClass, String... names) {
        for (String name : names) {
            scheduler.enqueue(new Work(name, trafficClass));
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
    void nothingIsDispatchedWhereNoSlotIsFree() {
        enqueue(light, "l1", "l2");
        scheduler.dispatch(NOW, 1);
        scheduler.dispatch(NOW, 1);
        assertEquals(List.of("l1"), dispatched);
        limit.release();
        scheduler.dispatch(NOW, 1);
        assertEquals(List.of("l1", "l2"), dispatched);
    }

    @Test
    void requestWithoutDestinationIsPassedOverAndKeepsItsPlace() {
        unplaceable.add("l1");
        enqueue(light, "l1", "l2");
        scheduler.dispatch(NOW, 8);
        assertEquals(List.of("l2"), dispatched);
        unplaceable.clear();
        enqueue(light, "l3");
        scheduler.dispatch(NOW, 8);
        assertEquals(List.of("l2", "l1", "l3"), dispatched);
    }

    @Test
    void requeuedRequestGoesFirstAndARemovedOneNotAtAll() {
        Work removed = new Work("l2", light);
        enqueue(light, "l1");
        scheduler.enqueue(removed);
        scheduler.requeue(new Work("l0", light));
        scheduler.remove(removed);
        scheduler.dispatch(NOW, 8);
        assertEquals(List.of("l0", "l1"), dispatched);
    }

    @Test
    void classThatWasIdleSavesUpNoTurns() {
        enqueue(heavy, "h1", "h2", "h3", "h4", "h5", "h6", "h7");
        scheduler.dispatch(NOW, 6);
        enqueue(light, "l1", "l2");
        scheduler.dispatch(NOW, 9);
        assertEquals(List.of("l1", "h7", "l2"), dispatched.subList(6, 9));
    }
}
