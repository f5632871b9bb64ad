package caperrudder.api;

public enum HostState {
    RUNNING,
    DRAINING,
    GONE
}
