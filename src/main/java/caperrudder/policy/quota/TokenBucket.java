package caperrudder.policy.quota;

/**
 * A token bucket with a floor and a capacity, in units. The floor may be negative. A level below zero is a debt, which
 * refills pay off first.
 *
 * <p>Not thread-safe.
 */
final class TokenBucket {
    private final double floor;
    private final double capacity;
    private double level;

    /** @param capacity most units held; infinite if each refill passes its own limit */
    TokenBucket(double floor, double capacity, double level) {
        this.floor = floor;
        this.capacity = capacity;
        this.level = level;
    }

    double level() {
        return level;
    }

    /** Adds units up to the capacity. A level below the floor is not raised to the floor. */
    void refill(double units) {
        refill(units, capacity);
    }

    /** Adds units up to the given level instead of the capacity. */
    void refill(double units, double maxLevel) {
        level = Math.min(maxLevel, level + units);
    }

    /** Adds units, which may be negative, and limits the level to the range from floor to capacity. */
    void add(double units) {
        level = Math.max(floor, Math.min(capacity, level + units));
    }

    /** Takes units, or refunds them if negative, and limits the level to the range from floor to capacity. */
    void take(double units) {
        add(-units);
    }

    /** Takes units without limiting the level; the caller has checked that the bucket holds them. */
    void takeUnchecked(double units) {
        level -= units;
    }

    /** Replaces the level, without limiting it to the range from floor to capacity. */
    void setLevel(double newLevel) {
        level = newLevel;
    }

    /** Replaces the level by a saved one, less the units used that the saved level does not include. */
    void restore(double savedLevel, double usedSince) {
        level = Math.max(floor, Math.min(capacity, savedLevel) - usedSince);
    }
}
