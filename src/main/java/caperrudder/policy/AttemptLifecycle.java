package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyActions;
import caperrudder.policy.loadbalancing.LoadBalancer;

/**
 * Handles the events of an attempt after it was sent: the request is complete, the response has started, or the attempt
 * is overdue or has ended. When the last open attempt of a request has ended and the request is not closed, decides
 * whether it is retried or answered. Confined to the policy's thread.
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

    /** Handles the arrival of the last byte of a request's body: the endpoints begin to work on its open attempts. */
    void requestBodyCompleted(double now, PendingRequest request, double deadline) {
        if (!request.isBodyPending()) return;
        request.markBodyComplete(now, deadline);
        for (Attempt attempt : request.attempts()) {
            if (attempt.isOpen()) outstanding.startWork(now, attempt);
        }
    }

    /**
     * Handles the start of a response. The attempt releases its slot now, because the rest of the transfer depends on
     * the client's speed and not on the host.
     */
    void responseStarted(double now, PendingRequest request, int attemptNumber) {
        request.markResponding();
        Attempt attempt = request.attempt(attemptNumber);
        if (attempt != null) outstanding.endWork(attempt);
        requests.dispatch(now);
    }

    /** Handles the end of an attempt: closes its request, retries it, or answers it without a response from a host. */
    void attemptEnded(double now, PendingRequest request, AttemptResult result) {
        Attempt attempt = request.attempt(result.attemptNumber());
        if (attempt == null || !attempt.isOpen()) return;
        attempt.recordOutcome(result.outcome());
        outstanding.endWork(attempt);
        feedback.record(now, attempt, result);
        if (result.requestClosed()) requests.close(request);
        else if (!request.isClosed() && !request.hasOpenAttempt()) retryOrAnswer(now, request, result.outcome());
        requests.forgetIfEnded(request);
        requests.dispatch(now);
    }

    /**
     * Handles the end of a request that the server has ended by itself: releases what it still holds. Those of its
     * attempts that are open here were never sent, as the server has reported the ends of all others.
     */
    void requestTerminated(double now, PendingRequest request) {
        for (Attempt attempt : request.attempts()) {
            if (!attempt.isOpen()) continue;
            attempt.recordOutcome(Outcome.NOT_SENT);
            outstanding.endWork(attempt);
        }
        requests.close(request);
        requests.dispatch(now);
    }

    private void retryOrAnswer(double now, PendingRequest request, Outcome outcome) {
        // If nothing was sent the request is not retried.
        boolean shouldRetry = outcome != Outcome.NOT_SENT && retries.tryAcquireRetry(now, request);
        if (shouldRetry) requests.retry(request);
        else requests.answerUnserved(request);
    }

    /** Records attempts that have become overdue, and cancels those whose requests can be sent elsewhere in time. */
    void detectOverdue(double now) {
        outstanding.detectOverdue(now, this::handleOverdue);
    }

    private void handleOverdue(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        loadBalancer.recordOverdue(
                now, attempt.endpoint(), request.trafficClass().requestClass());
        if (retries.shouldCancel(now, attempt)) actions.cancelAttempt(request.id(), attempt.number());
    }
}
