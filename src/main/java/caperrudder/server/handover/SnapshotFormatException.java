package caperrudder.server.handover;

/** Bytes that are no snapshot: torn, damaged or of another version of the format. */
public final class SnapshotFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    SnapshotFormatException(String message) {
        super(message);
    }

    SnapshotFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
