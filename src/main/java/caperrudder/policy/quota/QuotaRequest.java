package caperrudder.policy.quota;

/** The properties of a request that admission depends on. */
public interface QuotaRequest {
    /** Returns the units of the quota that the request uses. */
    double units();

    /** Returns whether the client marked the request as a retry. */
    boolean isClientRetry();

    /** Returns the share of the request's value, 0 to 1, that its response is expected to earn, by its latency. */
    double expectedValueShare();
}
