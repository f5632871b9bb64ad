package caperrudder.api;

/** The hosts that share a memory of idempotency keys, and so drop repeats of one key. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** True where both hosts drop repeats of the same keys. */
    public boolean isSharedBy(Host a, Host b) {
        return this == ALL || (a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell()));
    }
}
