package caperrudder.policy;

import caperrudder.api.Host;
import caperrudder.api.PolicyActions;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.loadbalancing.PlacementRequest;
import caperrudder.policy.scheduling.Dispatcher;

/**
 * Sends attempts: finds the endpoint for the scheduler, and starts the attempt there. Confined to the policy's thread.
 */
final class AttemptDispatcher implements Dispatcher<PendingRequest, Endpoint> {
    private static final double NO_TIMEOUT = 0; // the server stops waiting at the request's deadline

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
        Attempt first = request.firstThatMayHaveRun();
        Host mayHaveRunOn = first == null ? null : first.endpoint().host();
        return loadBalancer.pick(
                now,
                new PlacementRequest(
                        request.trafficClass().spec(),
                        request.expectedWorkMs(),
                        retries.isRepeatable(now, request),
                        mayHaveRunOn,
                        request.attemptedEndpoints()));
    }

    @Override
    public void dispatch(double now, PendingRequest request, Endpoint endpoint) {
        boolean first = !request.hasAttempts();
        Attempt attempt = request.addAttempt(endpoint, now);
        if (first) noteFirstAttempt(now, request);
        loadBalancer.attemptSent(endpoint);
        if (!request.isBodyPending()) outstanding.begin(now, attempt);
        actions.sendAttempt(request.id(), endpoint.id(), NO_TIMEOUT);
    }

    private void noteFirstAttempt(double now, PendingRequest request) {
        retries.noteFirstAttempt();
        request.trafficClass().noteHold(now - request.arrivedAt());
        if (request.quota() != null) request.quota().sent(request.units());
    }
}
