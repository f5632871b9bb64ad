package caperrudder.policy.retry;

/**
 * A token bucket that keeps retries to a share of all requests, so that failing hosts do not multiply their load. Each
 * first attempt earns a part of a token and each retry spends one. Confined to the policy's thread.
 */
public final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2; // retries earned by each first attempt
    private static final double MAX_TOKENS = 20; // most retries saved up

    private double tokens = MAX_TOKENS / 2;

    /** Counts the first attempt of a request. */
    public void earn() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Whether a retry may be made now. */
    public boolean hasToken() {
        return tokens >= 1;
    }

    /** Spends the token of a retry; to be called only while there is one. */
    public void spend() {
        tokens -= 1;
    }
}
