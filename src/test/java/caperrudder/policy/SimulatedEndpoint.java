package caperrudder.policy;

import caperrudder.api.Host;
import caperrudder.api.HostState;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * An endpoint of a seeded world: a few cores with a bounded queue before them, slower while it warms up. A test may
 * take it down, let it hang, drain it, restart it, or let it fail the requests of some classes.
 */
final class SimulatedEndpoint {
    private static final int QUEUE_PER_CORE = 10;

    final String id;
    final String zone;
    final int cell;
    private final double[] freeAt;
    private double warmWithinMs;
    private double coldFrom = 1;

    HostState state = HostState.RUNNING;
    double startedAtMs; // 0: long ago
    boolean up = true;
    boolean hangs; // it takes requests and never answers
    final Set<String> failingClasses = new HashSet<>();
    int held; // requests, under way and queued

    SimulatedEndpoint(String id, String zone, int cell, int cores) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.freeAt = new double[cores];
    }

    /** It starts now: from this share of its capacity it warms up within so long. */
    void start(double now, double coldFrom, double warmWithinMs) {
        startedAtMs = now;
        this.coldFrom = coldFrom;
        this.warmWithinMs = warmWithinMs;
        state = HostState.RUNNING;
        up = true;
        Arrays.fill(freeAt, now);
    }

    boolean warmsUp(double now) {
        return startedAtMs > 0 && now - startedAtMs < warmWithinMs;
    }

    Host listed() {
        return new Host(id, zone, "std", cell, state, 1, startedAtMs);
    }

    boolean isFull() {
        return held >= freeAt.length * (1 + QUEUE_PER_CORE);
    }

    int cores() {
        return freeAt.length;
    }

    /** When its answer to a request of so much work leaves. */
    double serve(double now, double workMs) {
        int core = 0;
        for (int i = 1; i < freeAt.length; i++) {
            if (freeAt[i] < freeAt[core]) core = i;
        }
        double begin = Math.max(now, freeAt[core]);
        double share = warmsUp(begin) ? coldFrom + (1 - coldFrom) * (begin - startedAtMs) / warmWithinMs : 1;
        freeAt[core] = begin + workMs / share;
        return freeAt[core];
    }
}
