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
class FieldsTest {
    private static final String FIELD = "some.field";

    private static Fields fieldsWith(String value) {
        return new Fields(Map.of(FIELD, value));
    }

    private static void assertReported(String message, Executable read) {
        FieldException e = assertThrows(FieldException.class, read, message);
        assertEquals(message, e.getMessage());
        assertEquals(FIELD, e.field());
    }

    @Test
    void missingFieldHasTheDefaultValue() {
        Fields empty = new Fields(Map.of());
        assertEquals("x", empty.text(FIELD, "x"));
        assertEquals(1.5, empty.number(FIELD, 1.5));
        assertEquals(7, empty.integer(FIELD, 7));
        assertTrue(empty.flag(FIELD, true));
        assertEquals(0, empty.numbers(FIELD).length);
        assertFalse(empty.has(FIELD));
    }

    @Test
    void missingFieldWithoutDefaultIsReportedByName() {
        Fields empty = new Fields(Map.of());
        String message = "missing field 'some.field'";
        assertReported(message, () -> empty.text(FIELD));
        assertReported(message, () -> empty.number(FIELD));
        assertReported(message, () -> empty.wholeNumber(FIELD));
        assertReported(message, () -> empty.integer(FIELD));
        assertReported(message, () -> empty.bytes(FIELD));
    }

    @Test
    void malformedValueIsReportedWithItsField() {
        assertReported("empty field 'some.field'", () -> fieldsWith("").text(FIELD));
        assertReported("expected a number in 'some.field', found 'x'", () -> fieldsWith("x")
                .number(FIELD, 0));
        assertReported("expected a finite number in 'some.field', found 'NaN'", () -> fieldsWith("NaN")
                .number(FIELD));
        assertReported("expected an integer in 'some.field', found '1.5'", () -> fieldsWith("1.5")
                .wholeNumber(FIELD));
        assertReported("expected a 32-bit integer in 'some.field', found '2147483648'", () -> fieldsWith("2147483648")
                .integer(FIELD, 0));
        assertReported("expected 1, true, 0 or false in 'some.field', found 'yes'", () -> fieldsWith("yes")
                .flag(FIELD, false));
        assertReported("expected a number in 'some.field', found '1,,2'", () -> fieldsWith("1,,2")
                .numbers(FIELD));
        assertReported("expected hexadecimal bytes in 'some.field', found '0g'", () -> fieldsWith("0g")
                .bytes(FIELD));
    }

    @Test
    void validValuesAreParsed() {
        assertEquals(-2.5e3, fieldsWith("-2.5e3").number(FIELD));
        assertEquals(Long.MAX_VALUE, fieldsWith("9223372036854775807").wholeNumber(FIELD));
        assertEquals(Integer.MIN_VALUE, fieldsWith("-2147483648").integer(FIELD));
        assertTrue(fieldsWith("1").flag(FIELD, false));
        assertFalse(fieldsWith("false").flag(FIELD, true));
        assertArrayEquals(new double[] {1, 2.5}, fieldsWith("1,2.5").numbers(FIELD));
        assertEquals(0, fieldsWith("-").numbers(FIELD).length);
        assertArrayEquals(new byte[] {0, (byte) 0xff}, fieldsWith("00ff").bytes(FIELD));
        assertEquals(0, fieldsWith("-").bytes(FIELD).length);
    }
}
