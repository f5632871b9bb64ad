package caperrudder.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import org.junit.jupiter.api.Test;

/** One gateway's share of a ceiling of 20 units per second with a burst of 40. */
class CeilingBucketTest {
    private static final double HALF = 0.5;
    private static final Plan CAPPED = new Plan("capped", 100, 100, 0, 1, 0, 1, 20, 40, 4);
    private static final Plan UNCAPPED = new Plan("uncapped", 100, 100, 0, 1, 0, 1, 0, 0, 0);

    @Test
    void bucketIsEmptyWhenTheGatewayStarts() {
        assertEquals(0, new CeilingBucket(CAPPED, HALF, 0).level());
    }

    @Test
    void bucketHoldsUnitsSinceTheStartUpToItsShareOfTheBurst() {
        assertEquals(10, new CeilingBucket(CAPPED, HALF, 1000).level());
        assertEquals(20, new CeilingBucket(CAPPED, HALF, 60_000).level());
    }

    @Test
    void reservedUnitsTakeUpCapacityUntilTheyAreSent() {
        CeilingBucket bucket = new CeilingBucket(CAPPED, HALF, 60_000);
        bucket.reserve(15);
        bucket.refill(60);
        assertEquals(5, bucket.level());
        bucket.markSent(15);
        bucket.refill(60);
        assertEquals(20, bucket.level());
    }

    /** Guards against a bucket that held more than its share for good (docs/incidents/ceiling-units-twice.md). */
    @Test
    void unitsThatWereSentAreRefundedOnce() {
        CeilingBucket bucket = new CeilingBucket(CAPPED, HALF, 60_000);
        bucket.reserve(15);
        bucket.markSent(15);
        bucket.refund(15, true);
        assertEquals(20, bucket.level());
        bucket.refill(60);
        assertEquals(20, bucket.level());
    }

    @Test
    void unitsThatWereNotSentAreRefundedWithTheirPlace() {
        CeilingBucket bucket = new CeilingBucket(CAPPED, HALF, 60_000);
        bucket.reserve(15);
        bucket.refill(60);
        bucket.refund(15, false);
        assertEquals(20, bucket.level());
        bucket.refill(60);
        assertEquals(20, bucket.level());
    }

    @Test
    void onlyTheIncreaseOfARunningTotalIsReceived() {
        CeilingBucket bucket = new CeilingBucket(CAPPED, HALF, 0);
        bucket.receive(7, 4);
        assertEquals(3, bucket.level());
    }

    @Test
    void grantedUnitsAreNoLongerAdmitted() {
        CeilingBucket bucket = new CeilingBucket(CAPPED, HALF, 1000);
        bucket.grant(4);
        assertTrue(bucket.admits(6));
        assertFalse(bucket.admits(7));
    }

    @Test
    void allUnitsAreAdmittedWithoutACeiling() {
        CeilingBucket bucket = new CeilingBucket(UNCAPPED, HALF, 0);
        assertFalse(bucket.isLimited());
        assertTrue(bucket.admits(1e9));
    }
}
