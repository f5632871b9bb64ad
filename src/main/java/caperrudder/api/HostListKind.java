package caperrudder.api;

/** What a list of hosts contains. */
public enum HostListKind {
    /** The hosts that are new or have changed; all others are as before. */
    CHANGES,

    /** All hosts; a known host that is missing is gone. */
    FULL,

    /** All hosts as known before the gateway restarted, which may be outdated. */
    CACHED,

    /** Nothing, because the call to discovery failed. */
    FAILED
}
