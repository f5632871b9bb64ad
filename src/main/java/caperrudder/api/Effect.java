package caperrudder.api;

/** What repeating a request of a class does. */
public enum Effect {
    REPEATABLE,
    KEYED,
    ONCE
}
