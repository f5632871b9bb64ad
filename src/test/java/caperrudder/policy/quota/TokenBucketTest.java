package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks that the level of a token bucket is limited by its floor and its capacity. */
class TokenBucketTest {
    private static final double FLOOR = -10;
    private static final double CAPACITY = 10;

    private final TokenBucket bucket = new TokenBucket(FLOOR, CAPACITY, 4);

    @Test
    void refillStopsAtTheCapacity() {
        bucket.refill(7);
        assertEquals(CAPACITY, bucket.level());
    }

    @Test
    void refillStopsAtTheGivenLevel() {
        bucket.refill(7, 6);
        assertEquals(6, bucket.level());
    }

    @Test
    void takingMoreThanTheLevelLeavesADebtDownToTheFloor() {
        bucket.take(9);
        assertEquals(-5, bucket.level());
        bucket.take(9);
        assertEquals(FLOOR, bucket.level());
    }

    @Test
    void refundStopsAtTheCapacity() {
        bucket.take(-30);
        assertEquals(CAPACITY, bucket.level());
    }

    @Test
    void refillRaisesALevelBelowTheFloorByTheUnitsAdded() {
        bucket.setLevel(-20);
        bucket.refill(5);
        assertEquals(-15, bucket.level());
    }

    @Test
    void restoreSubtractsUsedUnitsWithinFloorAndCapacity() {
        bucket.restore(50, 3);
        assertEquals(CAPACITY - 3, bucket.level());
        bucket.restore(-9, 3);
        assertEquals(FLOOR, bucket.level());
    }

    @Test
    void takeUncheckedIsNotLimitedByTheFloor() {
        bucket.takeUnchecked(15);
        assertEquals(-11, bucket.level());
    }
}
