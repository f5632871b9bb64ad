package caperrudder.api;

/** How an attempt, a health check or a call to a shared counter ended. */
public enum Outcome {
    /** The call succeeded. */
    OK,

    /** The response reports an error. */
    ERROR,

    /** The host rejected the call because it had no capacity. */
    REJECTED,

    /** No response arrived within the time limit. */
    TIMEOUT,

    /** No connection could be opened. */
    CONNECT_FAILED,

    /** The connection was closed before the response was complete. */
    RESET,

    /** The gateway cancelled the call. */
    CANCELLED,

    /** The gateway sent nothing. */
    NOT_SENT,

    /** The response could not be parsed. */
    MALFORMED;

    /** Returns whether the outcome proves that the host did not execute the request. */
    public boolean provesNotExecuted() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
