package caperrudder.scale;

import java.util.PriorityQueue;

/**
 * Simulated time in milliseconds and the tasks that are due in it. Tasks of one moment run in the order in which they
 * were scheduled, on the thread that advances the clock. Not thread-safe.
 */
final class SimulatedClock {
    private record Task(double atMs, long order, Runnable work) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long scheduled;
    private double nowMs;

    SimulatedClock(double nowMs) {
        this.nowMs = nowMs;
    }

    double nowMs() {
        return nowMs;
    }

    /** Runs the work once the clock has advanced so far; a delay below 0 counts as 0. */
    void schedule(double delayMs, Runnable work) {
        tasks.add(new Task(nowMs + Math.max(0, delayMs), scheduled++, work));
    }

    /** Advances the clock and runs all that falls due, with what this schedules in turn. */
    void advance(double ms) {
        double endMs = nowMs + ms;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            Task next = tasks.poll();
            nowMs = next.atMs();
            next.work().run();
        }
        nowMs = endMs;
    }
}
