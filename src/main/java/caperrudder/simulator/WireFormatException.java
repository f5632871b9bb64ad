package caperrudder.simulator;

/** Thrown for input that violates the simulator's protocol. The message contains the line number and the problem. */
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

    /** Returns the number of the malformed line, from 1; one past the last line if the input ended too early. */
    long lineNumber() {
        return lineNumber;
    }
}
