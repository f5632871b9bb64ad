package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.ClusterHealth;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.Outcome;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.api.Snapshot;
import caperrudder.policy.gossip.OwnerRequest;
import caperrudder.policy.gossip.QuotaApplicant;
import caperrudder.policy.gossip.QuotaGossip;
import caperrudder.policy.gossip.QuotaOwnership;
import caperrudder.policy.quota.AdmissionControl;
import caperrudder.policy.quota.AdmissionVerdict;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaTable;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import caperrudder.policy.scheduling.Dispatcher;
import caperrudder.policy.scheduling.FairScheduler;
import caperrudder.policy.scheduling.OverdueShare;
import caperrudder.policy.scheduling.TrafficClass;
import caperrudder.policy.scheduling.TrafficClasses;
import caperrudder.policy.scheduling.WeightController;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Every decision of one gateway: admission, release, weights, host choice, health, tells and the rule guards.
 * Its interface (events, actions, settings) is Gateway.java, beside this file.
 */
public final class TrafficPolicy implements PolicyEvents {
    // Housekeeping
    /** How often timers run: waiting requests expire and messages leave on a tick. */
    static final double TICK_MS = 20;

    private static final double SWEEP_MS = 5000; // how often customers and hosts long gone are forgotten
    private static final double RESUBSCRIBE_AFTER_MS = 3000; // after a call for the endpoint list failed
    // Waiting requests
    // Attempts
    private static final double SILENT_AFTER = 5; // expected times, and
    private static final double QUIET_MS = 400; // so much, after which it is overdue

    private final PolicyActions act;
    private TrafficClasses classes = TrafficClasses.NONE; // until started
    private ConcurrencyLimit limit;
    private FairScheduler<PendingRequest, Endpoint> scheduler;
    private WeightController weights;
    private final Map<String, PendingRequest> asks = new LinkedHashMap<>();
    private final Map<Endpoint, LinkedHashSet<Attempt>> atWork = new LinkedHashMap<>();
    private QuotaTable quotas;
    private QuotaGossip gossip;
    private AdmissionControl admission;
    private Settings set;
    private LoadBalancer loadBalancer;
    private double sweptAt;
    private final OverdueShare lateness = new OverdueShare();
    private EventLoopStalls stalls;
    private RetryPolicy retries;
    private RetryAfter retryAfter;

    public TrafficPolicy(PolicyActions act) {
        this.act = act;
    }

    @Override
    public void start(double now, Settings settings) {
        set = settings;
        QuotaOwnership ownership = new QuotaOwnership(now, settings);
        quotas = new QuotaTable(now, settings, ownership);
        gossip = new QuotaGossip(now, settings, quotas, ownership, act);
        admission = new AdmissionControl(settings, quotas, ownership, gossip, lateness::share);
        loadBalancer = new LoadBalancer(now, settings, new Random(settings.seed()));
        classes = new TrafficClasses(settings);
        limit = new ConcurrencyLimit(now, gatewayCount(), classes.all());
        scheduler = new FairScheduler<>(classes.all(), limit, new AttemptDispatcher());
        weights = new WeightController(now, classes.all(), limit);
        sweptAt = now;
        stalls = new EventLoopStalls(now, TICK_MS);
        retries = new RetryPolicy(settings.limits());
        retryAfter = new RetryAfter(settings.limits());
        if (settings.subscribesToHosts()) act.subscribeToHosts();
        act.startTimer(TICK_MS, "beat");
    }

    @Override
    public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {
        if (kind == HostListKind.FAILED) act.startTimer(RESUBSCRIBE_AFTER_MS, "watch");
        if (kind == HostListKind.FAILED) return;
        loadBalancer.hostsUpdated(now, kind, hosts);
        release(now);
    }

    @Override
    public void requestReceived(double now, Request r) {
        TrafficClass cls = classes.find(r.requestClass());
        if (cls == null) act.reject(r.id(), 0); // a class that the settings do not name cannot be judged
        if (cls == null) return;
        int plan = quotas.planNumber(r.plan());
        boolean planKnown = plan != QuotaTable.UNKNOWN_PLAN;
        CustomerQuota c =
                planKnown ? quotas.findOrCreate(now, r.customer(), plan, r.firstReplica(), r.replicaCount()) : null;
        PendingRequest ask = new PendingRequest(r, cls, c);
        asks.put(r.id(), ask);
        // A stall of ours has used up its time: it is told so at once, before it costs others theirs. It
        // also covers a crowd at a slow start, and could hurt where what was read is younger than the stall.
        if (r.arrivedMs() < now && now >= RequestExpiry.expiresAt(ask)) {
            finish(ask);
            return;
        }
        switch (evaluate(now, ask, planKnown)) {
            case ADMIT -> letIn(now, ask);
            case REJECT -> decide(now, ask, false);
            case ASK_OWNER -> {
                OwnerRequest ownerRequest = new OwnerRequest(c, new HeldRequest(ask));
                ask.awaitOwner(ownerRequest);
                gossip.ask(now, ownerRequest, r.arrivedMs());
            }
        }
        if (c != null && ask.isAdmitted()) gossip.quotaChanged(now, c);
        gossip.flush(now);
    }

    private AdmissionVerdict evaluate(double now, PendingRequest ask, boolean planKnown) {
        if (ask.quota() != null) return admission.evaluate(now, ask.quota(), ask);
        return planKnown ? AdmissionVerdict.REJECT : AdmissionVerdict.ADMIT; // known, but the table is full
    }

    /** A request whose decision is up to an owner of its customer's quota. */
    private final class HeldRequest implements QuotaApplicant {
        private final PendingRequest ask;

        HeldRequest(PendingRequest ask) {
            this.ask = ask;
        }

        @Override
        public double units() {
            return ask.units();
        }

        @Override
        public double decisionDueAt() {
            return RequestExpiry.answerDueAt(ask);
        }

        @Override
        public boolean isSettled() {
            return ask.isClosed() || ask.isAdmitted();
        }

        @Override
        public void decided(double now, boolean admitted) {
            decide(now, ask, admitted);
        }
    }

    private void letIn(double now, PendingRequest ask) {
        ask.markAdmitted();
        if (ask.quota() != null) ask.quota().admitted(now, ask.units(), ask.expectedWorkMs());
        scheduler.enqueue(ask);
        release(now);
        // What would wait beyond its use is refused at once, and what has no time left may not wait (rule 1).
        boolean held = !ask.isClosed() && !ask.hasAttempts();
        if (held && now + scheduler.drainTimeMs(ask.trafficClass()) >= RequestExpiry.expiresAt(ask)) finish(ask);
    }

    @Override
    public void requestCompleted(double now, String id, double deadlineMs) {
        PendingRequest ask = asks.get(id);
        if (ask == null || !ask.isBodyPending()) return;
        ask.complete(now, deadlineMs);
        for (Attempt a : ask.attempts()) {
            if (a.isOpen()) place(now, a);
        }
    }

    @Override
    public void requestNotReplayable(double now, String id) {
        PendingRequest ask = asks.get(id);
        if (ask != null) ask.markNotReplayable();
    }

    /** The host's work is done once its answer begins; what is left is the client's pace. */
    @Override
    public void responseStarted(double now, String id, int attempt) {
        PendingRequest ask = asks.get(id);
        if (ask == null) return;
        ask.markResponding();
        Attempt a = ask.attempt(attempt);
        if (a != null) vacate(a);
        release(now);
    }

    @Override
    public void attemptEnded(double now, AttemptResult r) {
        PendingRequest ask = asks.get(r.requestId());
        Attempt a = ask == null ? null : ask.attempt(r.attempt());
        if (a == null || !a.isOpen()) return;
        a.end(r.outcome());
        vacate(a);
        learn(now, ask, a, r);
        if (r.requestClosed()) {
            close(ask);
        } else if (!ask.isClosed() && !ask.hasOpenAttempt()) {
            if (retries.takeRetry(now, ask) && r.outcome() != Outcome.NOT_SENT) scheduler.requeue(ask);
            else finish(ask);
        }
        if (ask.isClosed() && !ask.hasOpenAttempt()) asks.remove(ask.id());
        release(now);
    }

    @Override
    public void clientDisconnected(double now, String id) {
        PendingRequest ask = asks.get(id);
        if (ask == null) return;
        close(ask);
        for (Attempt a : ask.attempts()) {
            if (a.isOpen() && set.limits().cancellation() && !ask.isResponding()) act.cancelAttempt(id, a.number());
        }
    }

    @Override
    public void timerFired(double now, String token) {
        if (token.equals("watch")) act.subscribeToHosts();
        if (!token.equals("beat")) return;
        act.startTimer(TICK_MS, "beat");
        noteStall(now);
        expire(now);
        gossip.checkOverdueReplies(now);
        loadBalancer.refreshIfDue(now);
        watchHealth(now);
        limit.adapt(now);
        weights.update(now);
        sweep(now);
        release(now);
        gossip.flush(now);
    }

    /** What came while this gateway stood still is read only now: no peer or host is blamed for that. */
    private void noteStall(double now) {
        double late = stalls.noteTick(now);
        if (late > 0) gossip.stalled(late);
    }

    /** Avoided is what the list says not to use, and what has done so badly that others come before it. */
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
    public void restoreSnapshot(double now, Snapshot books) {
        for (QuotaSnapshot b : books.quotas()) quotas.restore(now, books.takenAtMs(), b);
        if (!asks.isEmpty() || classes.haveSamples()) return;
        limit.restore(books.concurrencyPerHost());
        loadBalancer.restore(now, books.health());
        classes.restore(books.classes());
    }

    private void decide(double now, PendingRequest ask, boolean in) {
        if (in) letIn(now, ask);
        if (in) return;
        close(ask);
        CustomerQuota c = ask.quota();
        act.reject(ask.id(), retryAfter.of(c == null ? QuotaTable.FORGET_AFTER_MS : c.retryAfterMs(now, ask.units())));
    }

    @Override
    public void peerMessageReceived(double now, int peer, byte[] data) {
        if (gossip != null) gossip.receive(now, peer, data); // before the start no peer is known
    }

    /** For tests. */
    LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    /** Dispatches what may leave now. */
    private void release(double now) {
        scheduler.dispatch(now, limit.slots(loadBalancer.capacity()));
    }

    private final class AttemptDispatcher implements Dispatcher<PendingRequest, Endpoint> {
        @Override
        public Endpoint findDestination(double now, PendingRequest request) {
            return loadBalancer.pick(now, placement(now, request));
        }

        @Override
        public void dispatch(double now, PendingRequest request, Endpoint endpoint) {
            send(now, request, endpoint);
        }
    }

    private void send(double now, PendingRequest ask, Endpoint s) {
        boolean first = !ask.hasAttempts();
        Attempt a = ask.addAttempt(s, now);
        if (first) {
            retries.noteFirstAttempt();
            ask.trafficClass().noteHold(now - ask.arrivedAt());
            if (ask.quota() != null) ask.quota().sent(ask.units());
        }
        loadBalancer.attemptSent(s);
        if (!ask.isBodyPending()) place(now, a);
        act.sendAttempt(ask.id(), s.host().id(), 0);
    }

    /** An attempt begins to work; one whose request is still arriving does not yet. */
    private void place(double now, Attempt a) {
        if (a.isWorking()) return;
        a.beginWork(now, stalls.totalMs());
        loadBalancer.attemptStarted(a.endpoint(), a.expectedWorkMs());
        atWork.computeIfAbsent(a.endpoint(), s -> new LinkedHashSet<>(4)).add(a);
        limit.acquire();
    }

    private void vacate(Attempt a) {
        if (!a.isWorking()) return;
        a.endWork();
        limit.release();
        loadBalancer.attemptFinished(a.endpoint(), a.expectedWorkMs());
        LinkedHashSet<Attempt> atEndpoint = atWork.get(a.endpoint());
        atEndpoint.remove(a);
        if (atEndpoint.isEmpty()) atWork.remove(a.endpoint());
    }

    private void expire(double now) {
        for (TrafficClass c : classes.all()) {
            for (PendingRequest ask : scheduler.waiting(c, a -> now >= RequestExpiry.expiresAt(a))) {
                c.noteHold(now - ask.arrivedAt());
                finish(ask); // takes it from the queue
            }
        }
    }

    /** The final answer where none was served: a refusal only where a further try is harmless (rule 2). */
    private void finish(PendingRequest ask) {
        if (ask.isAdmitted() && !ask.isClosed()) lateness.note(true);
        boolean harmless = RetryPolicy.isRejectionHarmless(ask);
        close(ask);
        // A place may be had once what is held now has left.
        if (harmless) act.reject(ask.id(), retryAfter.of(scheduler.drainTimeMs(ask.trafficClass())));
        else act.fail(ask.id());
    }

    private void close(PendingRequest ask) {
        if (!ask.hasOpenAttempt()) asks.remove(ask.id());
        if (ask.isClosed()) return;
        ask.markClosed();
        scheduler.remove(ask);
        CustomerQuota c = ask.quota();
        if (c == null) return;
        if (ask.ownerRequest() != null) gossip.withdraw(ask.ownerRequest());
        if (!ask.isAdmitted()) return;
        c.closed();
        if (!ask.hasAttempts() || ask.isBodyPending()) { // let in but never sent whole: the units go back
            c.giveBack(ask.units());
        }
    }

    // ---- attempts

    private PlacementRequest placement(double now, PendingRequest ask) {
        Attempt first = ask.firstThatMayHaveRun();
        return new PlacementRequest(
                ask.trafficClass().spec(),
                ask.expectedWorkMs(),
                retries.isRepeatable(now, ask),
                first == null ? null : first.endpoint().host(),
                endpointsOf(ask.attempts()));
    }

    private static List<Endpoint> endpointsOf(List<Attempt> attempts) {
        if (attempts.isEmpty()) return List.of();
        List<Endpoint> endpoints = new ArrayList<>(attempts.size());
        for (Attempt attempt : attempts) endpoints.add(attempt.endpoint());
        return endpoints;
    }

    private void learn(double now, PendingRequest ask, Attempt a, AttemptResult r) {
        Endpoint s = a.endpoint();
        TrafficClass c = ask.trafficClass();
        loadBalancer.recordResult(now, s, c.spec(), a.expectedWorkMs(), r);
        if (r.outcome() == Outcome.OK) {
            c.noteServed(r.latencyMs(), now - ask.arrivedAt(), ask.units());
            lateness.note(now - ask.arrivedAt() > c.spec().latencyObjectiveMs());
            if (ask.quota() != null && set.sharing().postPaid() && r.trueUnits() > 0) {
                ask.quota().charge(r.trueUnits() - ask.units());
            }
        }
        if (r.outcome() == Outcome.TIMEOUT) limit.noteTimeout();
        if (r.outcome() == Outcome.OK) {
            double baseMs = c.latency().baseMs(ask.units());
            limit.noteResponse(r.latencyMs(), baseMs, c.spec().latencyObjectiveMs());
        }
        if (ask.quota() != null) admission.meterReported(now, ask.quota(), ask, r.quotaUsedPercent());
    }

    private void watchHealth(double now) {
        for (Endpoint s : new ArrayList<>(atWork.keySet())) {
            for (Attempt a : new ArrayList<>(atWork.getOrDefault(s, new LinkedHashSet<>()))) {
                double expected = a.expectedWorkMs() * Math.max(1, s.latencyPenalty(now));
                double waited = a.elapsedMs(now, stalls.totalMs());
                if (a.isOverdue() || waited <= SILENT_AFTER * expected + QUIET_MS) continue;
                a.markOverdue();
                loadBalancer.recordOverdue(now, s, a.request().trafficClass().spec());
                if (retries.shouldCancel(now, a)) act.cancelAttempt(a.request().id(), a.number());
            }
        }
    }

    private int gatewayCount() {
        return Math.max(1, set.gatewayCount());
    }

    private void sweep(double now) {
        if (now - sweptAt < SWEEP_MS) return;
        sweptAt = now;
        quotas.forgetIdle(now, gossip::release);
        loadBalancer.removeUnlisted();
    }
}
