package caperrudder.api;

/** Whether a request may be sent to a host again after an attempt that may have been executed. */
public enum Idempotency {
    /** The request may be sent again to any host. */
    IDEMPOTENT,

    /** The request may be sent again within a time limit to a host of the same {@link DeduplicationScope}. */
    IDEMPOTENCY_KEY,

    /** The request may be sent again only if no earlier attempt was executed. */
    NOT_IDEMPOTENT
}
