package caperrudder.policy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Counts and running totals that wrap around. */
class SerialArithmeticTest {
    @Test
    void aRunningTotalThatWrappedAroundIsAheadByTheUnitsBetween() {
        double wrapsAt = (1L << 31) / 16.0;
        assertEquals(3, SerialArithmetic.unitsAhead(wrapsAt + 1, wrapsAt - 2));
    }

    @Test
    void aMessageNumberThatWrappedAroundIsTheLaterOne() {
        assertTrue(SerialArithmetic.isAfter(2, 65_534));
        assertFalse(SerialArithmetic.isAfter(65_534, 2));
    }

    @Test
    void anIncarnationThatWrappedAroundIsTheYoungerOne() {
        assertTrue(SerialArithmetic.isOlder(Integer.MAX_VALUE - 5, Integer.MIN_VALUE + 5));
        assertFalse(SerialArithmetic.isOlder(Integer.MIN_VALUE + 5, Integer.MAX_VALUE - 5));
    }
}
