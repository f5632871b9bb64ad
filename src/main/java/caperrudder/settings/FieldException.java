package caperrudder.settings;

/** A line that cannot be read; the message tells what is wrong with it. */
public final class FieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public FieldException(String message) {
        super(message);
    }
}
