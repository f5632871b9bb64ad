package caperrudder.settings;

import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Named text values, read by type. Each method without a default throws a {@link FieldException} where the field is
 * missing, and each method throws one where the value does not have the type that is asked for. Immutable.
 */
public final class Fields {
    private static final String NOTHING = "-";
    private static final String SEPARATOR = ",";

    private final Map<String, String> values;

    /** Takes a copy of the values, by their names. */
    public Fields(Map<String, String> values) {
        this.values = new TreeMap<>(values);
    }

    private String required(String name) {
        String value = values.get(name);
        if (value == null) {
            throw FieldException.missing(name);
        }
        return value;
    }

    /** Whether the field is there, be its value empty or not. */
    public boolean has(String name) {
        return values.containsKey(name);
    }

    /** A text that is not empty. */
    public String text(String name) {
        String value = required(name);
        if (value.isEmpty()) {
            throw new FieldException(name, "empty field '" + name + "'");
        }
        return value;
    }

    /** A text, which may be empty. */
    public String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** A finite decimal number. */
    public double number(String name) {
        String value = required(name);
        double number = decimal(name, value, value);
        if (!Double.isFinite(number)) {
            throw FieldException.malformed(name, "number", value);
        }
        return number;
    }

    /** A finite decimal number, or the default where the field is missing. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** A whole number of 64 bits. */
    public long wholeNumber(String name) {
        String value = required(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw FieldException.malformed(name, "whole number", value);
        }
    }

    /** A whole number of 32 bits. */
    public int integer(String name) {
        long value = wholeNumber(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new FieldException(name, "number out of range in '" + name + "': '" + value + "'");
        }
        return (int) value;
    }

    /** A whole number of 32 bits, or the default where the field is missing. */
    public int integer(String name, int defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** True for {@code 1} or {@code true}, false for {@code 0} or {@code false}. */
    public boolean flag(String name, boolean defaultValue) {
        String value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw FieldException.malformed(name, "truth value", value);
        };
    }

    /** Decimal numbers set apart by commas; none where the field is missing, empty or a dash. */
    public double[] numbers(String name) {
        String value = values.getOrDefault(name, "");
        if (value.isEmpty() || value.equals(NOTHING)) {
            return new double[0];
        }
        String[] parts = value.split(SEPARATOR, -1);
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = decimal(name, parts[i], value);
        }
        return numbers;
    }

    /** Bytes in hexadecimal digits; none where the value is a dash. */
    public byte[] bytes(String name) {
        String value = text(name);
        if (value.equals(NOTHING)) {
            return new byte[0];
        }
        try {
            return HexFormat.of().parseHex(value);
        } catch (IllegalArgumentException e) {
            throw FieldException.malformed(name, "bytes", value);
        }
    }

    private static double decimal(String name, String text, String value) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw FieldException.malformed(name, "number", value);
        }
    }
}
