package caperrudder.api;

/**
 * How an attempt, a health check or a call to a counter ended. {@code REJECTED}: the host had no capacity.
 * {@code NOT_SENT}: nothing left the gateway. {@code MALFORMED}: a response came that can't be read.
 */
public enum Outcome {
    OK,
    ERROR,
    REJECTED,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    NOT_SENT,
    MALFORMED;

    /** True where the outcome proves that the host never ran the request. */
    public boolean neverRan() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
