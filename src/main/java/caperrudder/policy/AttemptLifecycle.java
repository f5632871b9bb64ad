package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyActions;
import caperrudder.policy.loadbalancing.LoadBalancer;

/**
 * The way of each attempt once it has been sent: its request complete, its response begun, overdue, ended; and what
 * becomes of its request then. Confined to the policy's thread.
 */
final class AttemptLifecycle {
    private final PolicyActions actions;
    private final RequestLifecycle requests;
    private final OutstandingAttempts outstanding;
    private final RetryPolicy retries;
    private final AttemptFeedback feedback;
    private final LoadBalancer loadBalancer;

    AttemptLifecycle(
            PolicyActions actions,
            RequestLifecycle requests,
            OutstandingAttempts outstanding,
            RetryPolicy retries,
            AttemptFeedback feedback,
            LoadBalancer loadBalancer) {
        this.actions = actions;
        this.requests = requests;
        this.outstanding = outstanding;
        this.retries = retries;
        this.feedback = feedback;
        this.loadBalancer = loadBalancer;
    }

    /** The last byte of a request's body has come; from now on its open attempts are at work. */
    void requestCompleted(double now, PendingRequest request, double deadline) {
        if (!request.isBodyPending()) return;
        request.complete(now, deadline);
        for (Attempt attempt : request.attempts()) {
            if (attempt.isOpen()) outstanding.begin(now, attempt);
        }
    }

    /** The host's work is done once its response begins; what is left is the client's pace. */
    void responseStarted(double now, PendingRequest request, int attemptNumber) {
        request.markResponding();
        Attempt attempt = request.attempt(attemptNumber);
        if (attempt != null) outstanding.end(attempt);
        requests.dispatch(now);
    }

    /** An attempt has ended: its request is closed, sent again, or answered without having been served. */
    void ended(double now, PendingRequest request, AttemptResult result) {
        Attempt attempt = request.attempt(result.attempt());
        if (attempt == null || !attempt.isOpen()) return;
        attempt.end(result.outcome());
        outstanding.end(attempt);
        feedback.record(now, attempt, result);
        if (result.requestClosed()) requests.close(request);
        else if (!request.isClosed() && !request.hasOpenAttempt()) retryOrComplete(now, request, result.outcome());
        requests.forgetIfEnded(request);
        requests.dispatch(now);
    }

    private void retryOrComplete(double now, PendingRequest request, Outcome outcome) {
        // The budget pays for a retry also where, as nothing left this gateway, there is none.
        boolean retry = retries.takeRetry(now, request) && outcome != Outcome.NOT_SENT;
        if (retry) requests.retry(request);
        else requests.completeUnserved(request);
    }

    /** Cancels attempts that take far too long where their requests can be sent elsewhere in time. */
    void detectOverdue(double now) {
        outstanding.detectOverdue(now, this::overdue);
    }

    private void overdue(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        loadBalancer.recordOverdue(
                now, attempt.endpoint(), request.trafficClass().spec());
        if (retries.shouldCancel(now, attempt)) actions.cancelAttempt(request.id(), attempt.number());
    }
}
