package caperrudder.settings;

/** Thrown for a field that is missing or has an invalid value. The message names the field and the problem. */
public final class FieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * Creates an exception for a field.
     *
     * @param field name of the invalid field
     * @param problem one line that names the field and what is wrong with it
     */
    public FieldException(String field, String problem) {
        super(problem);
        this.field = field;
    }

    static FieldException missing(String field) {
        return new FieldException(field, "missing field '" + field + "'");
    }

    static FieldException malformed(String field, String expected, String value) {
        return new FieldException(field, "expected " + expected + " in '" + field + "', found '" + value + "'");
    }

    /** Returns the name of the missing or invalid field. */
    public String field() {
        return field;
    }
}
