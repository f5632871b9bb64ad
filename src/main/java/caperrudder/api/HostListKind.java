package caperrudder.api;

/**
 * How a list of hosts is to be read. {@code CHANGES}: these hosts have changed. {@code FULL}: these are all.
 * {@code CACHED}: these were all before a restart. {@code FAILED}: a call failed, there are none.
 */
public enum HostListKind {
    CHANGES,
    FULL,
    CACHED,
    FAILED
}
