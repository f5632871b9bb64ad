package caperrudder.scale;

import java.util.ArrayList;
import java.util.List;

/** The values of one run at one size, in the order in which they were measured. Not thread-safe. */
final class Measurements {
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_US = 1e3;

    private final List<Measurement> all = new ArrayList<>();
    private final int hosts;

    Measurements(int hosts) {
        this.hosts = hosts;
    }

    List<Measurement> all() {
        return List.copyOf(all);
    }

    /** Those that two rounds of one seed must share. */
    List<Measurement> deterministic() {
        return all.stream().filter(Measurement::deterministic).toList();
    }

    /** Adds a deterministic value. */
    void count(String name, double value, String unit) {
        all.add(new Measurement(hosts, name, value, unit, true));
    }

    /** Adds a deterministic whole number, exact up to 2^53. */
    void count(String name, long value, String unit) {
        count(name, (double) value, unit);
    }

    /** Adds a value that depends on the machine. */
    void measured(String name, double value, String unit) {
        all.add(new Measurement(hosts, name, value, unit, false));
    }

    /** Adds a whole number that depends on the machine, exact up to 2^53. */
    void measured(String name, long value, String unit) {
        measured(name, (double) value, unit);
    }

    /** Adds a time, given in nanoseconds, in milliseconds. */
    void ms(String name, double nanos) {
        measured(name, nanos / NANOS_PER_MS, "ms");
    }

    /** The same for whole nanoseconds. */
    void ms(String name, long nanos) {
        ms(name, (double) nanos);
    }

    /** Adds a time, given in nanoseconds, in microseconds. */
    void us(String name, double nanos) {
        measured(name, nanos / NANOS_PER_US, "us");
    }

    /** The same for whole nanoseconds. */
    void us(String name, long nanos) {
        us(name, (double) nanos);
    }
}
