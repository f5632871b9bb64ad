package caperrudder.policy.gossip;

/** Comparison of counts and running totals whose fields on the wire wrap around (as in RFC 1982). */
final class SerialArithmetic {
    private SerialArithmetic() {}

    /** Whether message number {@code serial} comes after {@code other}; both of 16 bits. */
    static boolean isAfter(int serial, int other) {
        return (short) (serial - other) > 0;
    }

    /** Whether an incarnation began before another; both of 32 bits of a clock in milliseconds. */
    static boolean isOlder(int incarnation, int other) {
        return incarnation - other < 0;
    }

    /** Units by which one running total is ahead of another; both as their 32 bits of fixed point hold them. */
    static double unitsAhead(double later, double earlier) {
        double scale = QuotaMessageCodec.UNIT_SCALE;
        return ((int) Math.round(later * scale) - (int) Math.round(earlier * scale)) / scale;
    }
}
