package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.ClusterHealth;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.api.Snapshot;
import caperrudder.policy.gossip.QuotaGossip;
import caperrudder.policy.gossip.QuotaOwnership;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.loadbalancing.LoadBalancer;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import caperrudder.policy.scheduling.FairScheduler;
import caperrudder.policy.scheduling.OverdueShare;
import caperrudder.policy.scheduling.TrafficClass;
import caperrudder.policy.scheduling.TrafficClasses;
import caperrudder.policy.scheduling.WeightController;
import java.util.List;
import java.util.Random;

/**
 * The decisions of one gateway: each event is handed to the concern that it belongs to, and what that decides leaves as
 * actions. Admission by quota is {@link RequestAdmission}'s, queues and answers are {@link RequestLifecycle}'s,
 * attempts and retries are {@link AttemptLifecycle}'s, and the choice of an endpoint is {@link LoadBalancer}'s.
 *
 * <p>Times are milliseconds of the clock of the events. One seed and one sequence of events give one sequence of
 * actions. Not safe for use by several threads: all events come from one thread, and actions may bring further events
 * before they return.
 */
public final class TrafficPolicy implements PolicyEvents {
    /** How often timers run: waiting requests expire and messages leave on a tick. */
    static final double TICK_MS = 20;

    private static final double CLEANUP_MS = 5000; // how often customers and hosts long gone are forgotten
    private static final double RESUBSCRIBE_AFTER_MS = 3000; // after a call for the endpoint list failed
    private static final String TICK_TOKEN = "beat"; // as recorded days and the simulator know it
    private static final String SUBSCRIBE_TOKEN = "watch";

    private final PolicyActions actions;
    private final PendingRequests pending = new PendingRequests();
    private TrafficClasses classes = TrafficClasses.NONE; // until started, as all that follows is null
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

    /** A policy that acts through {@code actions} once it is started. */
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
        OverdueShare overdueShare = new OverdueShare();
        QuotaOwnership ownership = new QuotaOwnership(now, settings);
        quotas = new QuotaTable(now, settings, ownership);
        gossip = new QuotaGossip(now, settings, quotas, ownership, actions);
        AdmissionControl control = new AdmissionControl(settings, quotas, ownership, gossip, overdueShare::share);
        RetryPolicy retries = new RetryPolicy(settings.limits());
        OutstandingAttempts outstanding = new OutstandingAttempts(limit, loadBalancer, stalls);
        AttemptDispatcher dispatcher = new AttemptDispatcher(actions, loadBalancer, outstanding, retries);
        FairScheduler<PendingRequest, Endpoint> scheduler = new FairScheduler<>(classes.all(), limit, dispatcher);
        boolean chargesTrueUnits = settings.sharing().postPaid();
        AttemptFeedback feedback = new AttemptFeedback(loadBalancer, limit, overdueShare, control, chargesTrueUnits);
        requests = new RequestLifecycle(
                actions, settings.limits(), pending, scheduler, limit, loadBalancer, gossip, overdueShare);
        attempts = new AttemptLifecycle(actions, requests, outstanding, retries, feedback, loadBalancer);
        admission = new RequestAdmission(pending, quotas, control, gossip, requests);
    }

    @Override
    public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {
        if (kind == HostListKind.FAILED) {
            actions.startTimer(RESUBSCRIBE_AFTER_MS, SUBSCRIBE_TOKEN);
            return;
        }
        loadBalancer.hostsUpdated(now, kind, hosts);
        requests.dispatch(now);
    }

    @Override
    public void requestReceived(double now, Request request) {
        TrafficClass trafficClass = classes.find(request.requestClass());
        // A class that the settings do not name cannot be judged.
        if (trafficClass == null) actions.reject(request.id(), RetryAfter.NONE);
        else admission.receive(now, request, trafficClass);
    }

    @Override
    public void requestCompleted(double now, String id, double deadlineMs) {
        PendingRequest request = pending.find(id);
        if (request != null) attempts.requestCompleted(now, request, deadlineMs);
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
        if (request != null) attempts.ended(now, request, result);
    }

    @Override
    public void clientDisconnected(double now, String id) {
        PendingRequest request = pending.find(id);
        if (request != null) requests.clientDisconnected(request);
    }

    @Override
    public void timerFired(double now, String token) {
        if (token.equals(SUBSCRIBE_TOKEN)) actions.subscribeToHosts();
        if (token.equals(TICK_TOKEN)) tick(now);
    }

    /** The order matters: what expires or is overdue frees slots for what is dispatched at the end. */
    private void tick(double now) {
        actions.startTimer(TICK_MS, TICK_TOKEN);
        double stalledMs = stalls.noteTick(now);
        if (stalledMs > 0) gossip.stalled(stalledMs);
        for (TrafficClass trafficClass : classes.all()) {
            requests.expire(now, trafficClass);
        }
        gossip.checkOverdueReplies(now);
        loadBalancer.refreshIfDue(now);
        attempts.detectOverdue(now);
        limit.adapt(now);
        weights.update(now);
        cleanUp(now);
        requests.dispatch(now);
        gossip.flush(now);
    }

    private void cleanUp(double now) {
        if (now - cleanedUpAt < CLEANUP_MS) return;
        cleanedUpAt = now;
        quotas.forgetIdle(now, gossip::release);
        loadBalancer.removeUnlisted();
    }

    @Override
    public void peerMessageReceived(double now, int peer, byte[] data) {
        if (gossip != null) gossip.receive(now, peer, data); // before the start no peer is known
    }

    @Override
    public ClusterHealth clusterHealth(double now) {
        return loadBalancer.clusterHealth(now);
    }

    @Override
    public Snapshot takeSnapshot(double now) {
        return new Snapshot(
                now, limit.perHost(), quotas.snapshot(now), loadBalancer.takeSnapshot(), classes.snapshot());
    }

    /** Before the first request all is taken over; from then on only what the other process still uses. */
    @Override
    public void restoreSnapshot(double now, Snapshot snapshot) {
        for (QuotaSnapshot quota : snapshot.quotas()) {
            quotas.restore(now, snapshot.takenAtMs(), quota);
        }
        if (!pending.isEmpty() || classes.haveSamples()) return;
        limit.restore(snapshot.concurrencyPerHost());
        loadBalancer.restore(now, snapshot.health());
        classes.restore(snapshot.classes());
    }

    /** For tests of the policy as a whole. */
    LoadBalancer loadBalancer() {
        return loadBalancer;
    }
}
