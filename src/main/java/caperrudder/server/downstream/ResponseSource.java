package caperrudder.server.downstream;

/** Where the parts of a streamed response come from. */
public interface ResponseSource {
    /** Whether to read on, or to wait until the client has taken what it was given. */
    void setReading(boolean reading);
}
