package caperrudder.settings;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Named values by type, and what is reported of those that can't be read. */
class FieldsTest {
    private static final String FIELD = "some.field";

    private static Fields of(String value) {
        return new Fields(Map.of(FIELD, value));
    }

    private static void assertReported(String problem, Executable read) {
        FieldException e = assertThrows(FieldException.class, read, problem);
        assertEquals(problem, e.getMessage());
        assertEquals(FIELD, e.field());
    }

    @Test
    void missingFieldTakesTheDefault() {
        Fields none = new Fields(Map.of());
        assertEquals("x", none.text(FIELD, "x"));
        assertEquals(1.5, none.number(FIELD, 1.5));
        assertEquals(7, none.integer(FIELD, 7));
        assertTrue(none.flag(FIELD, true));
        assertEquals(0, none.numbers(FIELD).length);
        assertFalse(none.has(FIELD));
    }

    @Test
    void missingFieldWithoutDefaultIsReportedByName() {
        Fields none = new Fields(Map.of());
        String problem = "missing field 'some.field'";
        assertReported(problem, () -> none.text(FIELD));
        assertReported(problem, () -> none.number(FIELD));
        assertReported(problem, () -> none.wholeNumber(FIELD));
        assertReported(problem, () -> none.integer(FIELD));
        assertReported(problem, () -> none.bytes(FIELD));
    }

    @Test
    void valueOfAnotherTypeIsReportedWithItsField() {
        assertReported("empty field 'some.field'", () -> of("").text(FIELD));
        assertReported("bad number in 'some.field': 'x'", () -> of("x").number(FIELD, 0));
        assertReported("bad number in 'some.field': 'NaN'", () -> of("NaN").number(FIELD));
        assertReported(
                "bad whole number in 'some.field': '1.5'", () -> of("1.5").wholeNumber(FIELD));
        assertReported("number out of range in 'some.field': '2147483648'", () -> of("2147483648")
                .integer(FIELD, 0));
        assertReported("bad truth value in 'some.field': 'yes'", () -> of("yes").flag(FIELD, false));
        assertReported("bad number in 'some.field': '1,,2'", () -> of("1,,2").numbers(FIELD));
        assertReported("bad bytes in 'some.field': '0g'", () -> of("0g").bytes(FIELD));
    }

    @Test
    void valuesAreReadByType() {
        assertEquals(-2.5e3, of("-2.5e3").number(FIELD));
        assertEquals(Long.MAX_VALUE, of("9223372036854775807").wholeNumber(FIELD));
        assertEquals(Integer.MIN_VALUE, of("-2147483648").integer(FIELD));
        assertTrue(of("1").flag(FIELD, false));
        assertFalse(of("false").flag(FIELD, true));
        assertArrayEquals(new double[] {1, 2.5}, of("1,2.5").numbers(FIELD));
        assertEquals(0, of("-").numbers(FIELD).length);
        assertArrayEquals(new byte[] {0, (byte) 0xff}, of("00ff").bytes(FIELD));
        assertEquals(0, of("-").bytes(FIELD).length);
    }
}
