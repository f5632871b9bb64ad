package caperrudder.api;

/** What a list of hosts contains. */
public enum HostListKind {
    /** The hosts that are new or have changed; all others are as before. */
    CHANGES,

    /** All hosts; a known host that is missing is gone. */
    FULL,

    /** All hosts that were known before the gateway restarted. The list may be outdated. */
    CACHED,

    /** Nothing, because the call to discovery failed. */
    FAILED
}
