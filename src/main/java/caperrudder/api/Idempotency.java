package caperrudder.api;

/** What repeating a request of a class does. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
}
