package caperrudder.api;

/** Whether a host may be sent requests. */
public enum HostState {
    RUNNING,
    DRAINING,
    GONE
}
