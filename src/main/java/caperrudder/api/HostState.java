package caperrudder.api;

/** The state of a host in the list of discovery. */
public enum HostState {
    /** The host accepts requests. */
    RUNNING,

    /** The host is shutting down and soon accepts no more requests. */
    DRAINING,

    /** The host no longer exists. */
    GONE
}
