package caperrudder.server;

import caperrudder.api.Outcome;
import caperrudder.api.PolicyActions;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.upstream.HealthChecker;

/** Carries out on sockets and timers what the policy decides. On the event loop only. */
final class PolicyActionExecutor implements PolicyActions {
    private final EventLoopContext eventLoop;
    private final PolicyEventQueue policy;
    private final RequestDispatcher dispatcher;
    private final HealthChecker healthChecker;
    private final PeerSender peers;

    PolicyActionExecutor(
            EventLoopContext eventLoop,
            PolicyEventQueue policy,
            RequestDispatcher dispatcher,
            HealthChecker healthChecker,
            PeerSender peers) {
        this.eventLoop = eventLoop;
        this.policy = policy;
        this.dispatcher = dispatcher;
        this.healthChecker = healthChecker;
        this.peers = peers;
    }

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        dispatcher.send(id, host, timeoutMs);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        dispatcher.cancel(id, attempt);
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        dispatcher.reject(id, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        dispatcher.fail(id);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        eventLoop.schedule(() -> policy.post((now, p) -> p.timerFired(now, token)), delayMs);
    }

    @Override
    public void startHealthCheck(String host) {
        healthChecker.check(host);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        peers.send(peer, data);
    }

    /** There is no counter on these sockets, so a call can't get through. */
    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        policy.post((now, p) -> p.counterCallEnded(now, counter, Outcome.CONNECT_FAILED, 0));
    }

    /** Discovery is always watched. */
    @Override
    public void subscribeToHosts() {}
}
