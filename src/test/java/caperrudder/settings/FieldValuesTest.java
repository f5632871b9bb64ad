package caperrudder.settings;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Tests how field values are parsed, and which errors missing and malformed fields cause. */
class FieldValuesTest {
    private static final String FIELD = "some.field";

    private static FieldValues fieldsWith(String value) {
        return new FieldValues(Map.of(FIELD, value));
    }

    private static void assertReported(String message, Executable read) {
        FieldException e = assertThrows(FieldException.class, read, message);
        assertEquals(message, e.getMessage());
        assertEquals(FIELD, e.field());
    }

    @Test
    void missingFieldHasTheDefaultValue() {
        FieldValues empty = new FieldValues(Map.of());
        assertEquals("x", empty.getString(FIELD, "x"));
        assertEquals(1.5, empty.getDouble(FIELD, 1.5));
        assertEquals(7, empty.getInt(FIELD, 7));
        assertTrue(empty.getBoolean(FIELD, true));
        assertEquals(0, empty.getDoubles(FIELD).length);
        assertFalse(empty.has(FIELD));
    }

    @Test
    void missingFieldWithoutDefaultIsReportedByName() {
        FieldValues empty = new FieldValues(Map.of());
        String message = "missing field 'some.field'";
        assertReported(message, () -> empty.getString(FIELD));
        assertReported(message, () -> empty.getDouble(FIELD));
        assertReported(message, () -> empty.getLong(FIELD));
        assertReported(message, () -> empty.getInt(FIELD));
        assertReported(message, () -> empty.getBytes(FIELD));
    }

    @Test
    void malformedValueIsReportedWithItsField() {
        assertReported("empty field 'some.field'", () -> fieldsWith("").getString(FIELD));
        assertReported("expected a number in 'some.field', found 'x'", () -> fieldsWith("x")
                .getDouble(FIELD, 0));
        assertReported("expected a finite number in 'some.field', found 'NaN'", () -> fieldsWith("NaN")
                .getDouble(FIELD));
        assertReported("expected an integer in 'some.field', found '1.5'", () -> fieldsWith("1.5")
                .getLong(FIELD));
        assertReported("expected a 32-bit integer in 'some.field', found '2147483648'", () -> fieldsWith("2147483648")
                .getInt(FIELD, 0));
        assertReported("expected 1, true, 0 or false in 'some.field', found 'yes'", () -> fieldsWith("yes")
                .getBoolean(FIELD, false));
        assertReported("expected a number in 'some.field', found '1,,2'", () -> fieldsWith("1,,2")
                .getDoubles(FIELD));
        assertReported("expected hexadecimal bytes in 'some.field', found '0g'", () -> fieldsWith("0g")
                .getBytes(FIELD));
    }

    @Test
    void validValuesAreParsed() {
        assertEquals(-2.5e3, fieldsWith("-2.5e3").getDouble(FIELD));
        assertEquals(Long.MAX_VALUE, fieldsWith("9223372036854775807").getLong(FIELD));
        assertEquals(Integer.MIN_VALUE, fieldsWith("-2147483648").getInt(FIELD));
        assertTrue(fieldsWith("1").getBoolean(FIELD, false));
        assertFalse(fieldsWith("false").getBoolean(FIELD, true));
        assertArrayEquals(new double[] {1, 2.5}, fieldsWith("1,2.5").getDoubles(FIELD));
        assertEquals(0, fieldsWith("-").getDoubles(FIELD).length);
        assertArrayEquals(new byte[] {0, (byte) 0xff}, fieldsWith("00ff").getBytes(FIELD));
        assertEquals(0, fieldsWith("-").getBytes(FIELD).length);
    }
}
