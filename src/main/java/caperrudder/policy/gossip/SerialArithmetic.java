package caperrudder.policy.gossip;

/**
 * Compares serials, incarnations and running totals, whose fields on the wire wrap around (serial number arithmetic,
 * RFC 1982).
 */
final class SerialArithmetic {
    private SerialArithmetic() {}

    /** Returns whether {@code serial} is later than {@code other}. Both are 16-bit message serials. */
    static boolean isAfter(int serial, int other) {
        return (short) (serial - other) > 0;
    }

    /** Returns whether {@code incarnation} started before {@code other}. Both are 32-bit times in milliseconds. */
    static boolean isOlder(int incarnation, int other) {
        return incarnation - other < 0;
    }

    /**
     * Returns the units by which {@code total} exceeds {@code other}, negative if it is less. Both running totals are
     * compared as 32-bit fixed-point numbers, so the result is also correct after one of them wrapped around.
     */
    static double unitsAhead(double total, double other) {
        double scale = QuotaMessageCodec.UNIT_SCALE;
        return ((int) Math.round(total * scale) - (int) Math.round(other * scale)) / scale;
    }
}
