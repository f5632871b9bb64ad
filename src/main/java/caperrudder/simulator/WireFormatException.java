package caperrudder.simulator;

/** Input that does not follow the simulator's wire; the message names the line and says what is wrong with it. */
final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final long lineNumber;

    WireFormatException(long lineNumber, String problem) {
        super("line " + lineNumber + ": " + problem);
        this.lineNumber = lineNumber;
    }

    WireFormatException(long lineNumber, Throwable cause) {
        super("line " + lineNumber + ": " + cause.getMessage(), cause);
        this.lineNumber = lineNumber;
    }

    /** The number of the line at fault, counted from 1; one past the last line where the input ended too early. */
    long lineNumber() {
        return lineNumber;
    }
}
