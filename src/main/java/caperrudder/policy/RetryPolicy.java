package caperrudder.policy;

import caperrudder.api.Limits;
import caperrudder.policy.retry.RetryBudget;
import caperrudder.policy.retry.RetrySafety;

/** Whether a request gets another attempt: by its safety, its time, and this gateway's budget of retries. */
final class RetryPolicy {
    private final RetryBudget budget = new RetryBudget();
    private final RetrySafety safety;
    private final Limits limits;

    RetryPolicy(Limits limits) {
        this.limits = limits;
        this.safety = new RetrySafety(limits.connectTimeoutMs());
    }

    /** Counts the first attempt of a request: it earns a part of a retry. */
    void noteFirstAttempt() {
        budget.earn();
    }

    /** Whether an attempt sent now does no harm beside those that may have run (rule 2). */
    boolean isRepeatable(double now, PendingRequest request) {
        Attempt first = request.firstThatMayHaveRun();
        return first == null || safety.isRepeatable(now, request.trafficClass().spec(), first.sentAt());
    }

    /** Whether a request whose attempts have ended may be sent again; the budget pays for it at once. */
    boolean takeRetry(double now, PendingRequest request) {
        boolean may = isRepeatable(now, request)
                && !request.isResponding()
                && request.isReplayable()
                && now < RequestExpiry.expiresAt(request)
                && budget.hasToken()
                && request.attempts().size() < limits.maxAttempts();
        if (may) budget.spend();
        return may;
    }

    /** Whether an overdue attempt is to be cancelled, so that its request can be sent elsewhere in time. */
    boolean shouldCancel(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        boolean useful = !request.isClosed()
                && !request.isResponding()
                && now + attempt.expectedWorkMs() < RequestExpiry.expiresAt(request);
        boolean safe = RetrySafety.mayRunTwice(request.trafficClass().spec()) && limits.cancellation();
        return useful && safe && budget.hasToken();
    }

    /** Whether the client may repeat a request that is rejected now: no host ran it, or its retry does no harm. */
    static boolean isRejectionHarmless(PendingRequest request) {
        return !request.mayHaveRun()
                || RetrySafety.isRepeatableByClient(request.trafficClass().spec());
    }
}
