package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.Outcome;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import caperrudder.policy.scheduling.LateRequestShare;
import caperrudder.policy.scheduling.TrafficClass;

/** Records the results of attempts in all statistics that depend on them. Confined to the policy's thread. */
final class AttemptFeedback {
    private final LoadBalancer loadBalancer;
    private final ConcurrencyLimit limit;
    private final LateRequestShare lateRequestShare;
    private final AdmissionControl admission;
    private final boolean chargesActualUnits;

    /** @param chargesActualUnits whether quotas are charged for the units that hosts report as actually used */
    AttemptFeedback(
            LoadBalancer loadBalancer,
            ConcurrencyLimit limit,
            LateRequestShare lateRequestShare,
            AdmissionControl admission,
            boolean chargesActualUnits) {
        this.loadBalancer = loadBalancer;
        this.limit = limit;
        this.lateRequestShare = lateRequestShare;
        this.admission = admission;
        this.chargesActualUnits = chargesActualUnits;
    }

    /** Records the result of an attempt that has ended. */
    void record(double now, Attempt attempt, AttemptResult result) {
        PendingRequest request = attempt.request();
        TrafficClass trafficClass = request.trafficClass();
        loadBalancer.recordResult(
                now, attempt.endpoint(), trafficClass.requestClass(), attempt.expectedWorkMs(), result);
        if (result.outcome() == Outcome.OK) recordServed(now, request, result);
        if (result.outcome() == Outcome.TIMEOUT) limit.recordTimeout();
        if (request.quota() != null) {
            admission.recordMeteredUse(now, request.quota(), request, result.quotaUsedPercentPlusOne());
        }
    }

    private void recordServed(double now, PendingRequest request, AttemptResult result) {
        TrafficClass trafficClass = request.trafficClass();
        double objectiveMs = trafficClass.requestClass().latencyObjectiveMs();
        double responseTimeMs = now - request.arrivedAt();
        trafficClass.recordServedRequest(result.latencyMs(), responseTimeMs, request.units());
        lateRequestShare.record(responseTimeMs > objectiveMs);
        limit.recordResponse(result.latencyMs(), trafficClass.latencyEstimate().baseMs(request.units()), objectiveMs);
        if (request.quota() != null && chargesActualUnits && result.actualUnits() > 0) {
            request.quota().charge(result.actualUnits() - request.units());
        }
    }
}
