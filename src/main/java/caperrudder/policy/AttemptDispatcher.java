package caperrudder.policy;

import caperrudder.api.Host;
import caperrudder.api.PolicyActions;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.loadbalancing.PlacementRequest;
import caperrudder.policy.scheduling.Dispatcher;

/**
 * Chooses the endpoint of each request that the scheduler releases, and sends an attempt there. Confined to the
 * policy's thread.
 */
final class AttemptDispatcher implements Dispatcher<PendingRequest, Endpoint> {
    private static final double NO_TIMEOUT = 0; // the server enforces the request's deadline

    private final PolicyActions actions;
    private final LoadBalancer loadBalancer;
    private final OutstandingAttempts outstanding;
    private final RetryPolicy retries;

    AttemptDispatcher(
            PolicyActions actions, LoadBalancer loadBalancer, OutstandingAttempts outstanding, RetryPolicy retries) {
        this.actions = actions;
        this.loadBalancer = loadBalancer;
        this.outstanding = outstanding;
        this.retries = retries;
    }

    @Override
    public Endpoint findDestination(double now, PendingRequest request) {
        Attempt firstThatMayHaveRun = request.firstAttemptThatMayHaveRun();
        Host mayHaveRunOnHost = firstThatMayHaveRun == null
                ? null
                : firstThatMayHaveRun.endpoint().host();
        return loadBalancer.pickEndpoint(
                now,
                new PlacementRequest(
                        request.trafficClass().requestClass(),
                        request.expectedWorkMs(),
                        retries.isRepeatable(now, request),
                        mayHaveRunOnHost,
                        request.attemptedEndpoints()));
    }

    @Override
    public void dispatch(double now, PendingRequest request, Endpoint endpoint) {
        boolean isFirst = !request.hasAttempts();
        Attempt attempt = request.addAttempt(endpoint, now);
        if (isFirst) recordFirstAttempt(now, request);
        else request.reservation().useRetryToken();
        loadBalancer.attemptSent(endpoint);
        if (!request.isBodyPending()) outstanding.startWork(now, attempt);
        actions.sendAttempt(request.id(), endpoint.id(), NO_TIMEOUT);
    }

    private void recordFirstAttempt(double now, PendingRequest request) {
        retries.recordFirstAttempt();
        request.trafficClass().recordQueueDelay(now - request.arrivedAt());
        request.reservation().markSent();
    }
}
