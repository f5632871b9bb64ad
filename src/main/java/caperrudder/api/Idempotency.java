package caperrudder.api;

/**
 * What a second attempt at a request may do. {@code IDEMPOTENT}: no harm. {@code IDEMPOTENCY_KEY}: no harm where hosts
 * of one {@link DeduplicationScope} get both. {@code NOT_IDEMPOTENT}: harm, unless the first attempt never ran.
 */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
}
