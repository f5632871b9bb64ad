package caperrudder.policy;

import caperrudder.api.Limits;
import caperrudder.api.PolicyActions;
import caperrudder.policy.gossip.QuotaGossip;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import caperrudder.policy.scheduling.FairScheduler;
import caperrudder.policy.scheduling.OverdueShare;
import caperrudder.policy.scheduling.TrafficClass;

/**
 * The way of each request from the decision on it to its one final answer: admitted to the queue of its class or
 * rejected, dispatched when its turn comes, expired where it waits too long, and closed. Confined to the policy's
 * thread.
 */
final class RequestLifecycle {
    private final PolicyActions actions;
    private final Limits limits;
    private final RetryAfter retryAfter;
    private final PendingRequests pending;
    private final FairScheduler<PendingRequest, Endpoint> scheduler;
    private final ConcurrencyLimit limit;
    private final LoadBalancer loadBalancer;
    private final QuotaGossip gossip;
    private final OverdueShare overdueShare;

    RequestLifecycle(
            PolicyActions actions,
            Limits limits,
            PendingRequests pending,
            FairScheduler<PendingRequest, Endpoint> scheduler,
            ConcurrencyLimit limit,
            LoadBalancer loadBalancer,
            QuotaGossip gossip,
            OverdueShare overdueShare) {
        this.actions = actions;
        this.limits = limits;
        this.retryAfter = new RetryAfter(limits);
        this.pending = pending;
        this.scheduler = scheduler;
        this.limit = limit;
        this.loadBalancer = loadBalancer;
        this.gossip = gossip;
        this.overdueShare = overdueShare;
    }

    /** Admits a request: charges its quota and puts it into the queue of its class. */
    void admit(double now, PendingRequest request) {
        request.markAdmitted();
        CustomerQuota quota = request.quota();
        if (quota != null) quota.admitted(now, request.units(), request.expectedWorkMs());
        scheduler.enqueue(request);
        dispatch(now);
        // What would wait beyond its use is rejected at once, and what has no time left may not wait (rule 1).
        boolean waits = !request.isClosed() && !request.hasAttempts();
        if (waits && now + scheduler.drainTimeMs(request.trafficClass()) >= RequestExpiry.expiresAt(request)) {
            completeUnserved(request);
        }
    }

    /** Rejects a request by its quota. */
    void reject(double now, PendingRequest request) {
        close(request);
        CustomerQuota quota = request.quota();
        double estimateMs = quota == null ? QuotaTable.FORGET_AFTER_MS : quota.retryAfterMs(now, request.units());
        actions.reject(request.id(), retryAfter.of(estimateMs));
    }

    /** Dispatches what may leave now. */
    void dispatch(double now) {
        scheduler.dispatch(now, limit.slots(loadBalancer.capacity()));
    }

    /** Answers the requests of a class that have waited too long to be of use. */
    void expire(double now, TrafficClass trafficClass) {
        for (PendingRequest request :
                scheduler.waiting(trafficClass, waiting -> now >= RequestExpiry.expiresAt(waiting))) {
            trafficClass.noteHold(now - request.arrivedAt());
            completeUnserved(request); // takes it from the queue
        }
    }

    /** The client has gone: nothing more is sent for it, and what is under way is cancelled where that is of use. */
    void clientDisconnected(PendingRequest request) {
        close(request);
        for (Attempt attempt : request.attempts()) {
            if (attempt.isOpen() && limits.cancellation() && !request.isResponding()) {
                actions.cancelAttempt(request.id(), attempt.number());
            }
        }
    }

    /** Puts a request whose attempts have ended back to the head of its queue. */
    void retry(PendingRequest request) {
        scheduler.requeue(request);
    }

    /** The final answer where no response was served: a rejection only where a client's retry is harmless (rule 2). */
    void completeUnserved(PendingRequest request) {
        if (request.isAdmitted() && !request.isClosed()) overdueShare.note(true);
        boolean harmless = RetryPolicy.isRejectionHarmless(request);
        close(request);
        // A slot may be had once what waits now has left.
        if (harmless) actions.reject(request.id(), retryAfter.of(scheduler.drainTimeMs(request.trafficClass())));
        else actions.fail(request.id());
    }

    /** Nothing more is due to the client; the request is forgotten once its attempts have ended, too. */
    void close(PendingRequest request) {
        if (!request.hasOpenAttempt()) pending.remove(request);
        if (request.isClosed()) return;
        request.markClosed();
        scheduler.remove(request);
        if (request.quota() != null) closeQuota(request);
    }

    private void closeQuota(PendingRequest request) {
        if (request.ownerRequest() != null) gossip.withdraw(request.ownerRequest());
        if (!request.isAdmitted()) return;
        request.quota().closed();
        boolean sentWhole = request.hasAttempts() && !request.isBodyPending();
        if (!sentWhole) request.quota().giveBack(request.units());
    }

    /** Forgets a closed request whose attempts have ended. */
    void forgetIfEnded(PendingRequest request) {
        if (request.isClosed() && !request.hasOpenAttempt()) pending.remove(request);
    }
}
