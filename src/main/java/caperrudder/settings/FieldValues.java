package caperrudder.settings;

import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Text values by field name, with methods that parse them. A method without a default value throws a
 * {@link FieldException} if the field is missing, unless its comment says otherwise. Each method throws one if it can't
 * parse the value. Immutable.
 */
public final class FieldValues {
    private static final String EMPTY_VALUE = "-";
    private static final String LIST_SEPARATOR = ",";

    private final Map<String, String> values;

    /** Copies the values of a map from field name to value. */
    public FieldValues(Map<String, String> values) {
        this.values = new TreeMap<>(values);
    }

    private String required(String name) {
        String value = values.get(name);
        if (value == null) {
            throw FieldException.missing(name);
        }
        return value;
    }

    /** Returns whether the field is present. Its value may be empty. */
    public boolean has(String name) {
        return values.containsKey(name);
    }

    /** Returns a value that must not be empty. */
    public String getString(String name) {
        String value = required(name);
        if (value.isEmpty()) {
            throw new FieldException(name, "empty field '" + name + "'");
        }
        return value;
    }

    /** Returns a value, which may be empty, or the default if the field is missing. */
    public String getString(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns a finite decimal number. */
    public double getDouble(String name) {
        String value = required(name);
        double number = parseDecimal(name, value, value);
        if (!Double.isFinite(number)) {
            throw FieldException.malformed(name, "a finite number", value);
        }
        return number;
    }

    /** Returns a finite decimal number, or the default if the field is missing. */
    public double getDouble(String name, double defaultValue) {
        return has(name) ? getDouble(name) : defaultValue;
    }

    /** Returns a signed 64-bit integer. */
    public long getLong(String name) {
        String value = required(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw FieldException.malformed(name, "an integer", value);
        }
    }

    /** Returns a signed 32-bit integer. */
    public int getInt(String name) {
        long value = getLong(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new FieldException(name, "expected a 32-bit integer in '" + name + "', found '" + value + "'");
        }
        return (int) value;
    }

    /** Returns a signed 32-bit integer, or the default if the field is missing. */
    public int getInt(String name, int defaultValue) {
        return has(name) ? getInt(name) : defaultValue;
    }

    /**
     * Returns true for {@code 1} or {@code true}, false for {@code 0} or {@code false}, and the default if the field is
     * missing.
     */
    public boolean getBoolean(String name, boolean defaultValue) {
        String value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw FieldException.malformed(name, "1, true, 0 or false", value);
        };
    }

    /** Returns the decimal numbers of a comma-separated list; empty if the field is missing, empty or a dash. */
    public double[] getDoubles(String name) {
        String value = values.getOrDefault(name, "");
        if (value.isEmpty() || value.equals(EMPTY_VALUE)) {
            return new double[0];
        }
        String[] elements = value.split(LIST_SEPARATOR, -1);
        double[] numbers = new double[elements.length];
        for (int i = 0; i < elements.length; i++) {
            numbers[i] = parseDecimal(name, elements[i], value);
        }
        return numbers;
    }

    /** Returns the bytes that pairs of hexadecimal digits represent; empty if the value is a dash. */
    public byte[] getBytes(String name) {
        String value = getString(name);
        if (value.equals(EMPTY_VALUE)) {
            return new byte[0];
        }
        try {
            return HexFormat.of().parseHex(value);
        } catch (IllegalArgumentException e) {
            throw FieldException.malformed(name, "hexadecimal bytes", value);
        }
    }

    private static double parseDecimal(String name, String text, String fieldValue) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw FieldException.malformed(name, "a number", fieldValue);
        }
    }
}
