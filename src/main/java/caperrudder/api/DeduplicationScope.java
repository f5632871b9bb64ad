package caperrudder.api;

/** The group of hosts that share their record of idempotency keys, and so execute a request with a given key once. */
public enum DeduplicationScope {
    /** All hosts. */
    ALL,
    /** The hosts of a zone. */
    ZONE,
    /** The hosts that have the same zone and the same cell number. */
    CELL;

    /** Returns whether the two hosts share their record of idempotency keys. */
    public boolean isSharedBy(Host a, Host b) {
        return this == ALL || (a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell()));
    }
}
