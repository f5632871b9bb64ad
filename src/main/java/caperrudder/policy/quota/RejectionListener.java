package caperrudder.policy.quota;

/** Notified of demand that a quota left no capacity for, so that the customer's owner may learn of it. */
public interface RejectionListener {
    void quotaExhausted(double now, CustomerQuota quota);
}
