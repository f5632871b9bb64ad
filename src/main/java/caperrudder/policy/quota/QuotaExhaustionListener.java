package caperrudder.policy.quota;

/** Is notified of requests that exceed a quota, so that it can report their demand to the quota's owner. */
public interface QuotaExhaustionListener {
    /** Called when a request is rejected because the quota is used up. */
    void quotaExhausted(double now, CustomerQuota quota);
}
