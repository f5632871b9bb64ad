package caperrudder.server.http;

/** The heads of all messages together hold as much memory as they may: this one can't be read now. */
public final class HeadMemoryExceededException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    HeadMemoryExceededException() {
        super("no memory for a head", null, false, false);
    }
}
