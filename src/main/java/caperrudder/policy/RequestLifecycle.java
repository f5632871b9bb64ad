package caperrudder.policy;

import caperrudder.api.PolicyActions;
import caperrudder.api.SiteLimits;
import caperrudder.policy.gossip.QuotaGossip;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import caperrudder.policy.scheduling.FairScheduler;
import caperrudder.policy.scheduling.LateRequestShare;
import caperrudder.policy.scheduling.TrafficClass;

/**
 * Handles each request from the admission decision to its single final answer: enqueues or rejects it, dispatches it
 * when the scheduler selects it, expires it if it waits too long, and closes it. Confined to the policy's thread.
 */
final class RequestLifecycle {
    private final PolicyActions actions;
    private final SiteLimits limits;
    private final RetryAfter retryAfter;
    private final PendingRequests pending;
    private final FairScheduler<PendingRequest, Endpoint> scheduler;
    private final ConcurrencyLimit limit;
    private final LoadBalancer loadBalancer;
    private final QuotaGossip gossip;
    private final LateRequestShare lateRequestShare;

    RequestLifecycle(
            PolicyActions actions,
            SiteLimits limits,
            PendingRequests pending,
            FairScheduler<PendingRequest, Endpoint> scheduler,
            ConcurrencyLimit limit,
            LoadBalancer loadBalancer,
            QuotaGossip gossip,
            LateRequestShare lateRequestShare) {
        this.actions = actions;
        this.limits = limits;
        this.retryAfter = new RetryAfter(limits);
        this.pending = pending;
        this.scheduler = scheduler;
        this.limit = limit;
        this.loadBalancer = loadBalancer;
        this.gossip = gossip;
        this.lateRequestShare = lateRequestShare;
    }

    /**
     * Admits a request: charges its quota and appends it to the queue of its class. Does nothing if the request was
     * admitted or has ended before.
     */
    void admit(double now, PendingRequest request) {
        if (!request.reservation().reserve(now, request.expectedWorkMs())) return;
        request.markAdmitted();
        scheduler.enqueue(request);
        dispatch(now);
        // A request that would expire in the queue is answered at once (rule 1).
        boolean waits = !request.isClosed() && !request.hasAttempts();
        if (waits && now + scheduler.drainTimeMs(request.trafficClass()) >= RequestExpiry.expiresAt(request)) {
            answerUnserved(request);
        }
    }

    /** Rejects a request that does not fit its customer's quota. */
    void reject(double now, PendingRequest request) {
        close(request);
        CustomerQuota quota = request.quota();
        double estimateMs = quota == null ? QuotaTable.MIN_EVICTION_IDLE_MS : quota.retryAfterMs(now, request.units());
        actions.reject(request.id(), retryAfter.fromEstimate(estimateMs));
    }

    /** Dispatches queued requests while slots are free. */
    void dispatch(double now) {
        scheduler.dispatch(now, limit.slots(loadBalancer.healthyCapacity()));
    }

    /** Answers the queued requests of a class that have expired. */
    void expire(double now, TrafficClass trafficClass) {
        for (PendingRequest request :
                scheduler.queuedRequests(trafficClass, queued -> now >= RequestExpiry.expiresAt(queued))) {
            trafficClass.recordQueueDelay(now - request.arrivedAt());
            answerUnserved(request); // also removes it from the queue
        }
    }

    /**
     * Handles the disconnection of a client: closes its request, and cancels the open attempts if cancellation is
     * permitted and no response has begun.
     */
    void clientDisconnected(PendingRequest request) {
        close(request);
        for (Attempt attempt : request.attempts()) {
            if (attempt.isOpen() && limits.cancellation() && !request.isResponding()) {
                actions.cancelAttempt(request.id(), attempt.number());
            }
        }
    }

    /** Puts a request whose attempts have ended back at the head of its queue. */
    void retry(PendingRequest request) {
        scheduler.requeue(request);
    }

    /**
     * Sends the final answer to a request for which no response was served: a rejection if a retry by the client is
     * harmless (rule 2), otherwise a failure.
     */
    void answerUnserved(PendingRequest request) {
        if (request.isAdmitted() && !request.isClosed()) lateRequestShare.record(true);
        boolean harmless = RetryPolicy.isRejectionHarmless(request);
        close(request);
        // A retry can expect a slot once the requests that are queued now have been dispatched.
        if (harmless) {
            actions.reject(request.id(), retryAfter.fromEstimate(scheduler.drainTimeMs(request.trafficClass())));
        } else {
            actions.fail(request.id());
        }
    }

    /** Closes a request whose client has its answer or has disconnected. Removes it unless it has open attempts. */
    void close(PendingRequest request) {
        if (!request.hasOpenAttempt()) pending.remove(request);
        if (request.isClosed()) return;
        request.markClosed();
        scheduler.remove(request);
        if (request.pendingDecision() != null) gossip.withdraw(request.pendingDecision());
        request.reservation().release(request.hasAttempts() && !request.isBodyPending());
    }

    /** Removes a request if it is closed and all of its attempts have ended. */
    void forgetIfEnded(PendingRequest request) {
        if (request.isClosed() && !request.hasOpenAttempt()) pending.remove(request);
    }
}
