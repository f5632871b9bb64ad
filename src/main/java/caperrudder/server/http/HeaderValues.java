package caperrudder.server.http;

/** Checks of header values that come from strangers. Has no state. */
public final class HeaderValues {
    /** In place of a number that is missing or malformed; all numbers read here are 0 or more. */
    public static final double ABSENT = -1;

    private static final int NUMBER_LENGTH_MAX = 9; // characters: the number fits an int

    private HeaderValues() {}

    /** Whether all characters lie between the two, both included; a plain loop, since it runs often for each request. */
    public static boolean isWithin(String text, char first, char last) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < first || text.charAt(i) > last) {
                return false;
            }
        }
        return true;
    }

    /**
     * Digits, and where {@code fractionAllowed} a point between them: no sign, exponent, blank, NaN or infinity.
     *
     * @param text the value, or null where the header is missing
     * @return the number, or {@link #ABSENT}
     */
    public static double parseNumber(String text, boolean fractionAllowed) {
        if (text == null || text.isEmpty() || text.length() > NUMBER_LENGTH_MAX) {
            return ABSENT;
        }
        int point = -1;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.' && fractionAllowed && point < 0 && i > 0 && i < text.length() - 1) {
                point = i;
            } else if (c < '0' || c > '9') {
                return ABSENT;
            }
        }
        return Double.parseDouble(text);
    }
}
