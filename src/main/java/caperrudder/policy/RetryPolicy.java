package caperrudder.policy;

import caperrudder.api.SiteLimits;
import caperrudder.policy.retry.RetryBudget;
import caperrudder.policy.retry.RetrySafety;

/** Decides whether a request gets another attempt, by its retry safety, its remaining time and the retry budget. */
final class RetryPolicy {
    private final RetryBudget budget = new RetryBudget();
    private final RetrySafety safety;
    private final SiteLimits limits;

    RetryPolicy(SiteLimits limits) {
        this.limits = limits;
        this.safety = new RetrySafety(limits.connectTimeoutMs());
    }

    /** Records the first attempt of a request, which earns a fraction of a retry. */
    void recordFirstAttempt() {
        budget.earn();
    }

    /** Whether another attempt now does no harm even if earlier attempts have run (rule 2). */
    boolean isRepeatable(double now, PendingRequest request) {
        Attempt firstThatMayHaveRun = request.firstAttemptThatMayHaveRun();
        return firstThatMayHaveRun == null
                || safety.isRepeatable(now, request.trafficClass().requestClass(), firstThatMayHaveRun.sentAt());
    }

    /**
     * Whether a request whose attempts have ended may be sent again; if so, its reservation takes a token of the retry
     * budget.
     */
    boolean tryAcquireRetry(double now, PendingRequest request) {
        boolean allowed = isRepeatable(now, request)
                && !request.isResponding()
                && request.isReplayable()
                && now < RequestExpiry.expiresAt(request)
                && budget.hasToken()
                && request.attempts().size() < limits.maxAttempts();
        if (allowed) request.reservation().takeRetryToken(budget);
        return allowed;
    }

    /** Whether to cancel an overdue attempt so that its request can be sent elsewhere in time. */
    boolean shouldCancel(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        boolean useful = !request.isClosed()
                && !request.isResponding()
                && now + attempt.expectedWorkMs() < RequestExpiry.expiresAt(request);
        boolean safe = RetrySafety.mayRunTwice(request.trafficClass().requestClass()) && limits.cancellation();
        return useful && safe && budget.hasToken();
    }

    /**
     * Whether a retry by the client after a rejection does no harm, because no host ran the request or it may run
     * twice.
     */
    static boolean isRejectionHarmless(PendingRequest request) {
        return !request.mayHaveRun()
                || RetrySafety.isRepeatableByClient(request.trafficClass().requestClass());
    }
}
