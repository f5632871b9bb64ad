package caperrudder.policy;

import caperrudder.api.Request;
import caperrudder.policy.gossip.OwnerRequest;
import caperrudder.policy.gossip.QuotaApplicant;
import caperrudder.policy.gossip.QuotaGossip;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.quota.AdmissionVerdict;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.scheduling.TrafficClass;

/**
 * Takes in each request and decides on it by its customer's quota: here where that can be decided here, otherwise by
 * the reply of the quota's owner. Confined to the policy's thread.
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

    /** A request of this class has arrived. */
    void receive(double now, Request received, TrafficClass trafficClass) {
        int plan = quotas.planNumber(received.plan());
        boolean planKnown = plan != QuotaTable.UNKNOWN_PLAN;
        CustomerQuota quota = planKnown ? findQuota(now, received, plan) : null;
        PendingRequest request = new PendingRequest(received, trafficClass, quota);
        pending.add(request);
        // A stall of this gateway has used up its time: it is answered at once, before it costs others theirs. That
        // also covers a burst at a slow start, and could hurt where what was read is younger than the stall.
        if (request.arrivedAt() < now && now >= RequestExpiry.expiresAt(request)) {
            requests.completeUnserved(request);
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

    private CustomerQuota findQuota(double now, Request received, int plan) {
        return quotas.findOrCreate(now, received.customer(), plan, received.firstReplica(), received.replicaCount());
    }

    private AdmissionVerdict evaluate(double now, PendingRequest request, boolean planKnown) {
        if (request.quota() != null) return admission.evaluate(now, request.quota(), request);
        return planKnown ? AdmissionVerdict.REJECT : AdmissionVerdict.ADMIT; // known, but the table is full
    }

    private void askOwner(double now, PendingRequest request) {
        OwnerRequest ownerRequest = new OwnerRequest(request.quota(), new HeldRequest(request));
        request.awaitOwner(ownerRequest);
        gossip.ask(now, ownerRequest, request.arrivedAt());
    }

    /** A request whose decision is up to an owner of its customer's quota. */
    private final class HeldRequest implements QuotaApplicant {
        private final PendingRequest request;

        HeldRequest(PendingRequest request) {
            this.request = request;
        }

        @Override
        public double units() {
            return request.units();
        }

        @Override
        public double decisionDueAt() {
            return RequestExpiry.answerDueAt(request);
        }

        @Override
        public boolean isSettled() {
            return request.isClosed() || request.isAdmitted();
        }

        @Override
        public void decided(double now, boolean admitted) {
            if (admitted) requests.admit(now, request);
            else requests.reject(now, request);
        }
    }
}
