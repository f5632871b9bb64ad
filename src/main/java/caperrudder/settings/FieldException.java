package caperrudder.settings;

/** A named value that is missing or can't be read; the message names the field and says what is wrong with it. */
public final class FieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * Reports a field.
     *
     * @param field the name of the field at fault
     * @param problem what is wrong, in one line
     */
    public FieldException(String field, String problem) {
        super(problem);
        this.field = field;
    }

    static FieldException missing(String field) {
        return new FieldException(field, "missing field '" + field + "'");
    }

    static FieldException malformed(String field, String expected, String value) {
        return new FieldException(field, "bad " + expected + " in '" + field + "': '" + value + "'");
    }

    /** The name of the field at fault, as in the settings or the message. */
    public String field() {
        return field;
    }
}
