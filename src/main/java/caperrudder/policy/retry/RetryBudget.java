package caperrudder.policy.retry;

/**
 * A token bucket that limits retries to a share of all requests, so that retries do not multiply the load on failing
 * hosts. Each first attempt earns a fraction of a token, and each retry spends one token.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.2;
    private static final double MAX_TOKENS = 20;
    private static final double INITIAL_TOKENS = MAX_TOKENS / 2;

    private double tokens = INITIAL_TOKENS;

    /** Adds what the first attempt of a request earns. */
    public void earn() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }

    /** Returns whether the budget allows a retry now. */
    public boolean hasToken() {
        return tokens >= 1;
    }

    /** Spends the token of a retry. Must be called only if {@link #hasToken()} returns true. */
    public void spend() {
        tokens -= 1;
    }

    /** Gives back the token of a retry that was not sent. */
    public void refund() {
        tokens = Math.min(MAX_TOKENS, tokens + 1);
    }
}
