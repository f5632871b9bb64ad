package caperrudder.policy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Comparison of serials, incarnations and running totals after they wrapped around. */
class SerialArithmeticTest {
    @Test
    void unitsAheadIsCorrectAfterRunningTotalWrapsAround() {
        double wrapAroundUnits = (1L << 31) / 16.0;
        assertEquals(3, SerialArithmetic.unitsAhead(wrapAroundUnits + 1, wrapAroundUnits - 2));
    }

    @Test
    void serialThatWrappedAroundIsLater() {
        assertTrue(SerialArithmetic.isAfter(2, 65_534));
        assertFalse(SerialArithmetic.isAfter(65_534, 2));
    }

    @Test
    void incarnationThatWrappedAroundIsNewer() {
        assertTrue(SerialArithmetic.isOlder(Integer.MAX_VALUE - 5, Integer.MIN_VALUE + 5));
        assertFalse(SerialArithmetic.isOlder(Integer.MIN_VALUE + 5, Integer.MAX_VALUE - 5));
    }
}
