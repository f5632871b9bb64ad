package caperrudder.policy.quota;

/** What admission needs to know of a request. */
public interface QuotaRequest {
    /** Units of the quota that the request uses. */
    double units();

    /** Whether its client marked it as a retry of a rejected request. */
    boolean isClientRetry();

    /** Share of its value, 0 to 1, that a response is expected to earn, given how soon its class is served. */
    double expectedValueShare();
}
