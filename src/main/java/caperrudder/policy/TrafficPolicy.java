package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.ClusterHealth;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.PolicyLoad;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.policy.gossip.QuotaGossip;
import caperrudder.policy.gossip.QuotaOwnership;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import caperrudder.policy.scheduling.FairScheduler;
import caperrudder.policy.scheduling.LateRequestShare;
import caperrudder.policy.scheduling.TrafficClass;
import caperrudder.policy.scheduling.TrafficClasses;
import caperrudder.policy.scheduling.WeightController;
import java.util.List;
import java.util.Random;

/**
 * Makes the decisions of one gateway. It passes each event to the component that handles it, and the decisions are
 * carried out through {@link PolicyActions}. {@link RequestAdmission} admits requests by quota,
 * {@link RequestLifecycle} queues and answers them, {@link AttemptLifecycle} handles attempts and retries, and
 * {@link LoadBalancer} chooses endpoints.
 *
 * <p>Times are milliseconds of the clock of the events. The policy is deterministic: the same seed and the same
 * sequence of events yield the same actions. Not thread-safe: all events must come from one thread. No event may be
 * delivered while another one is being handled, so the caller must defer events that an action causes at once.
 */
public final class TrafficPolicy implements PolicyEvents {
    /** Interval of the periodic work, such as expiring requests and sending messages to peers. */
    static final double TICK_MS = 20;

    private static final double CLEANUP_INTERVAL_MS = 5000; // of idle quotas and unlisted hosts
    private static final double RESUBSCRIBE_DELAY_MS = 3000; // after a call for the endpoint list has failed

    // Timer names, which recordings and the simulator depend on.
    private static final String TICK_TOKEN = "beat";
    private static final String SUBSCRIBE_TOKEN = "watch";

    private final PolicyActions actions;
    private final PendingRequests pending = new PendingRequests();
    private TrafficClasses classes = TrafficClasses.NONE; // until start, like the null fields below
    private LoadBalancer loadBalancer;
    private QuotaTable quotas;
    private QuotaGossip gossip;
    private ConcurrencyLimit limit;
    private WeightController weights;
    private EventLoopStalls stalls;
    private RequestLifecycle requests;
    private AttemptLifecycle attempts;
    private RequestAdmission admission;
    private double cleanedUpAt;

    /** Creates a policy that acts through {@code actions} once it is started. */
    public TrafficPolicy(PolicyActions actions) {
        this.actions = actions;
    }

    @Override
    public void start(double now, Settings settings) {
        int gatewayCount = Math.max(1, settings.gatewayCount());
        classes = new TrafficClasses(settings);
        limit = new ConcurrencyLimit(now, gatewayCount, classes.all());
        weights = new WeightController(now, classes.all(), limit);
        loadBalancer = new LoadBalancer(now, settings, new Random(settings.seed()));
        stalls = new EventLoopStalls(now, TICK_MS);
        cleanedUpAt = now;
        createRequestHandling(now, settings);
        if (settings.subscribesToHosts()) actions.subscribeToHosts();
        actions.startTimer(TICK_MS, TICK_TOKEN);
    }

    private void createRequestHandling(double now, Settings settings) {
        LateRequestShare lateRequestShare = new LateRequestShare();
        QuotaOwnership ownership = new QuotaOwnership(now, settings);
        quotas = new QuotaTable(now, settings, ownership);
        gossip = new QuotaGossip(now, settings, quotas, ownership, actions);
        AdmissionControl control = new AdmissionControl(settings, quotas, ownership, gossip, lateRequestShare::share);
        RetryPolicy retries = new RetryPolicy(settings.limits());
        OutstandingAttempts outstanding = new OutstandingAttempts(limit, loadBalancer, stalls);
        AttemptDispatcher dispatcher = new AttemptDispatcher(actions, loadBalancer, outstanding, retries);
        FairScheduler<PendingRequest, Endpoint> scheduler = new FairScheduler<>(classes.all(), limit, dispatcher);
        boolean chargesActualUnits = settings.coordination().postPaid();
        AttemptFeedback feedback =
                new AttemptFeedback(loadBalancer, limit, lateRequestShare, control, chargesActualUnits);
        requests = new RequestLifecycle(
                actions, settings.limits(), pending, scheduler, limit, loadBalancer, gossip, lateRequestShare);
        attempts = new AttemptLifecycle(actions, requests, outstanding, retries, feedback, loadBalancer);
        admission = new RequestAdmission(pending, quotas, control, gossip, requests);
    }

    @Override
    public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {
        if (kind == HostListKind.FAILED) {
            actions.startTimer(RESUBSCRIBE_DELAY_MS, SUBSCRIBE_TOKEN);
            return;
        }
        loadBalancer.hostsUpdated(now, kind, hosts);
        requests.dispatch(now);
    }

    @Override
    public void requestReceived(double now, Request request) {
        TrafficClass trafficClass = classes.find(request.requestClass());
        // A request whose class the settings do not define cannot be scheduled.
        if (trafficClass == null) actions.reject(request.id(), RetryAfter.NONE);
        else admission.receive(now, request, trafficClass);
    }

    @Override
    public void requestBodyCompleted(double now, String id, double deadlineAtMs) {
        PendingRequest request = pending.find(id);
        if (request != null) attempts.requestBodyCompleted(now, request, deadlineAtMs);
    }

    @Override
    public void requestNotReplayable(double now, String id) {
        PendingRequest request = pending.find(id);
        if (request != null) request.markNotReplayable();
    }

    @Override
    public void responseStarted(double now, String id, int attempt) {
        PendingRequest request = pending.find(id);
        if (request != null) attempts.responseStarted(now, request, attempt);
    }

    @Override
    public void attemptEnded(double now, AttemptResult result) {
        PendingRequest request = pending.find(result.requestId());
        if (request != null) attempts.attemptEnded(now, request, result);
    }

    @Override
    public void clientDisconnected(double now, String id) {
        PendingRequest request = pending.find(id);
        if (request != null) requests.clientDisconnected(request);
    }

    @Override
    public void requestTerminated(double now, String id) {
        PendingRequest request = pending.find(id);
        if (request != null) attempts.requestTerminated(now, request);
    }

    @Override
    public void timerFired(double now, String token) {
        if (token.equals(SUBSCRIBE_TOKEN)) actions.subscribeToHosts();
        if (token.equals(TICK_TOKEN)) tick(now);
    }

    /** Runs the periodic work. Requests are dispatched last, because expired and overdue ones may free slots. */
    private void tick(double now) {
        actions.startTimer(TICK_MS, TICK_TOKEN);
        double stalledMs = stalls.recordTick(now);
        if (stalledMs > 0) gossip.eventLoopStalled(stalledMs);
        for (TrafficClass trafficClass : classes.all()) {
            requests.expire(now, trafficClass);
        }
        gossip.handleOverdueReplies(now);
        loadBalancer.refreshIfDue(now);
        attempts.detectOverdue(now);
        limit.adapt(now);
        weights.update(now);
        cleanUp(now);
        requests.dispatch(now);
        gossip.flush(now);
    }

    private void cleanUp(double now) {
        if (now - cleanedUpAt < CLEANUP_INTERVAL_MS) return;
        cleanedUpAt = now;
        quotas.evictIdle(now, gossip::removeIfIdle);
        loadBalancer.removeUnlisted();
    }

    @Override
    public void peerMessageReceived(double now, int peer, byte[] data) {
        if (gossip != null) gossip.receive(now, peer, data); // no peer is known before the start
    }

    @Override
    public ClusterHealth clusterHealth(double now) {
        return loadBalancer.clusterHealth(now);
    }

    @Override
    public PolicyLoad load() {
        return new PolicyLoad(pending.size(), limit.inUse(), (int) limit.slots(loadBalancer.healthyCapacity()));
    }

    @Override
    public PolicySnapshot takeSnapshot(double now) {
        return new PolicySnapshot(
                now, limit.limitPerHost(), quotas.snapshot(now), loadBalancer.takeSnapshot(), classes.snapshot());
    }

    /**
     * Restores the state of the predecessor. Quotas are always restored, because the predecessor may still be using
     * them. All other state is restored only if this gateway has no pending requests and no latency samples yet.
     */
    @Override
    public void restoreSnapshot(double now, PolicySnapshot snapshot) {
        for (QuotaSnapshot quota : snapshot.quotas()) {
            quotas.restore(now, snapshot.takenAtMs(), quota);
        }
        if (!pending.isEmpty() || classes.hasSamples()) return;
        limit.restore(snapshot.concurrencyLimitPerHost());
        loadBalancer.restoreSnapshot(now, snapshot.health());
        classes.restore(snapshot.classes());
    }

    /** Returns the load balancer, for tests. */
    LoadBalancer loadBalancer() {
        return loadBalancer;
    }
}
