package caperrudder.policy.quota;

/**
 * A level of units between a floor and a capacity. The floor may be negative: a level below zero is a debt that
 * refilling pays off first.
 *
 * <p>Not thread-safe.
 */
final class TokenBucket {
    private final double floor;
    private final double capacity;
    private double level;

    /** @param capacity most units held; infinite where each refill names a capacity of its own */
    TokenBucket(double floor, double capacity, double level) {
        this.floor = floor;
        this.capacity = capacity;
        this.level = level;
    }

    double level() {
        return level;
    }

    /** Adds units up to the capacity; a level below the floor stays below it until it is paid off. */
    void refill(double units) {
        refill(units, capacity);
    }

    /** As {@link #refill(double)}, up to the given capacity. */
    void refill(double units, double upTo) {
        level = Math.min(upTo, level + units);
    }

    /** Adds units, or takes them where negative, and brings the level between floor and capacity. */
    void add(double units) {
        level = Math.max(floor, Math.min(capacity, level + units));
    }

    /** Takes units, or gives them back where negative, and brings the level between floor and capacity. */
    void take(double units) {
        add(-units);
    }

    /** Takes units for which the bucket was found to hold them. */
    void takeUnchecked(double units) {
        level -= units;
    }

    /** Replaces the level by what is known better elsewhere. */
    void setLevel(double newLevel) {
        level = newLevel;
    }

    /** Replaces the level by a saved one, less the units that were used beside it. */
    void restore(double savedLevel, double usedSince) {
        level = Math.max(floor, Math.min(capacity, savedLevel) - usedSince);
    }
}
