package caperrudder.policy;

import caperrudder.api.Request;
import caperrudder.policy.gossip.PendingDecision;
import caperrudder.policy.gossip.QuotaGossip;
import caperrudder.policy.gossip.UndecidedRequest;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.quota.AdmissionDecision;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.scheduling.TrafficClass;

/**
 * Receives each request and admits or rejects it by its customer's quota. Asks an owner of the quota if this gateway
 * cannot decide by itself. Confined to the policy's thread.
 */
final class RequestAdmission {
    private final PendingRequests pending;
    private final QuotaTable quotas;
    private final AdmissionControl admission;
    private final QuotaGossip gossip;
    private final RequestLifecycle requests;

    RequestAdmission(
            PendingRequests pending,
            QuotaTable quotas,
            AdmissionControl admission,
            QuotaGossip gossip,
            RequestLifecycle requests) {
        this.pending = pending;
        this.quotas = quotas;
        this.admission = admission;
        this.gossip = gossip;
        this.requests = requests;
    }

    /** Handles the arrival of a request of this class. */
    void receive(double now, Request received, TrafficClass trafficClass) {
        int planNumber = quotas.planNumber(received.plan());
        boolean planKnown = planNumber != QuotaTable.UNKNOWN_PLAN;
        CustomerQuota quota = planKnown ? findQuota(now, received, planNumber) : null;
        PendingRequest request = new PendingRequest(received, trafficClass, quota);
        pending.add(request);
        // A request that expired before this gateway could read it, because of a stall or a burst during startup, is
        // answered at once, so that it does not delay others. The arrival time includes the whole lag of the event
        // loop, so a request that arrived late in a stall may be dropped too early.
        if (request.arrivedAt() < now && now >= RequestExpiry.expiresAt(request)) {
            requests.answerUnserved(request);
            return;
        }
        switch (evaluate(now, request, planKnown)) {
            case ADMIT -> requests.admit(now, request);
            case REJECT -> requests.reject(now, request);
            case ASK_OWNER -> askOwner(now, request);
        }
        if (quota != null && request.isAdmitted()) gossip.quotaChanged(now, quota);
        gossip.flush(now);
    }

    private CustomerQuota findQuota(double now, Request received, int planNumber) {
        return quotas.findOrCreate(
                now, received.customer(), planNumber, received.firstReplica(), received.replicaCount());
    }

    private AdmissionDecision evaluate(double now, PendingRequest request, boolean planKnown) {
        if (request.quota() != null) return admission.evaluate(now, request.quota(), request);
        // A customer of a known plan has no quota only if the quota table is full.
        return planKnown ? AdmissionDecision.REJECT : AdmissionDecision.ADMIT;
    }

    private void askOwner(double now, PendingRequest request) {
        PendingDecision pendingDecision = new PendingDecision(request.quota(), new PendingRequestAdapter(request));
        request.setPendingDecision(pendingDecision);
        gossip.ask(now, pendingDecision, request.arrivedAt());
    }

    /** Receives an owner's decision on a pending request. */
    private final class PendingRequestAdapter implements UndecidedRequest {
        private final PendingRequest request;

        PendingRequestAdapter(PendingRequest request) {
            this.request = request;
        }

        @Override
        public double units() {
            return request.units();
        }

        @Override
        public double decisionDueAtMs() {
            return RequestExpiry.answerDueAt(request);
        }

        @Override
        public boolean isDecided() {
            return request.isClosed() || request.isAdmitted();
        }

        @Override
        public void onDecision(double now, boolean admitted) {
            if (isDecided()) return;
            if (admitted) requests.admit(now, request);
            else requests.reject(now, request);
        }
    }
}
