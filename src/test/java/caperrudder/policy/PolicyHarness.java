package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.CoordinationSettings;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Idempotency;
import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.PolicyActions;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.api.SiteLimits;
import caperrudder.api.SiteRules;
import caperrudder.policy.loadbalancing.LoadBalancer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;

/** One policy with a simulated clock and timers: plays events to it and records its actions. */
public final class PolicyHarness implements PolicyActions {
    static final RequestClass READ =
            new RequestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1000, 3000, 1, 0, false);
    static final RequestClass PAY =
            new RequestClass("pay", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, 1000, 3000, 3, 0, false);
    static final RequestClass ORDER = new RequestClass(
            "order", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 1000, 1000, 3000, 3, 0, false);
    static final Plan SMALL = new Plan("small", 4, 12, 0, 1, 0, 1, 0, 0, 0);
    static final Plan CAPPED = new Plan("capped", 100, 100, 0, 1, 0, 1, 20, 40, 4);
    static final Plan OPEN = new Plan("open", 0, 0, 2, 1, 0, 1, 0, 0, 0);
    static final Plan FREE = new Plan("free", 1e6, 1e6, 0, 1, 0, 1, 0, 0, 0);

    record SentAttempt(double at, String id, String host) {}

    @SuppressWarnings("ArrayRecordComponent") // never compared
    record SentMessage(int peer, byte[] data) {}

    private record Timer(double at, int order, String token) {}

    final List<SentAttempt> sent = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    final List<Double> retryAfter = new ArrayList<>(); // of each rejected
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> healthChecks = new ArrayList<>();
    final List<SentMessage> peerMessages = new ArrayList<>();
    final List<String> actionLog = new ArrayList<>();
    final TrafficPolicy policy = new TrafficPolicy(this);
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingInt(Timer::order));
    private final Map<String, String> lastHost = new HashMap<>();
    private int order;
    double now;

    public PolicyHarness(double now, Settings settings) {
        this.now = now;
        policy.start(now, settings);
    }

    public static Settings settings(int me, int gateways) {
        return settings(me, gateways, 7);
    }

    public static Settings settings(int me, int gateways, long seed) {
        return new Settings(
                seed,
                me,
                gateways,
                "a",
                false,
                List.of(READ, PAY, ORDER),
                List.of(SMALL, CAPPED, OPEN, FREE),
                List.of(),
                new SiteLimits(4, false, true, true, true, true, 500, 250),
                new SiteRules(8, 500, 2, 1000, 0.2, 10_000, 0),
                new CoordinationSettings(false, 0, 0, false, 4, 60, 0.01, 0.01, 0.01));
    }

    /** Gateways that can't talk to each other; a meter tells what each customer uses. */
    static Settings metered(int me, int gateways, long seed) {
        Settings s = settings(me, gateways, seed);
        return new Settings(
                seed,
                me,
                gateways,
                s.zone(),
                false,
                s.classes(),
                s.plans(),
                List.of("util", "inflight"),
                new SiteLimits(4, false, true, false, false, true, 500, 250),
                s.rules(),
                new CoordinationSettings(false, 0, 1000, false, 4, 0, 0, 0, 0));
    }

    public LoadBalancer loadBalancer() {
        return policy.loadBalancer();
    }

    public static PolicyHarness single() {
        return new PolicyHarness(1000, settings(0, 1));
    }

    public static Host host(String id, String zone) {
        return new Host(id, zone, "std", 0, HostState.RUNNING, 1, 0);
    }

    PolicyHarness withHosts(String... ids) {
        List<Host> hosts = new ArrayList<>();
        for (String id : ids) {
            hosts.add(host(id, id.substring(0, 1)));
        }
        policy.hostsUpdated(now, HostListKind.FULL, hosts);
        return this;
    }

    void request(String id, String cls, String plan, long customer, double units, int spread) {
        policy.requestReceived(now, new Request(id, now + 3000, now, false, cls, customer, plan, units, 0, spread));
    }

    public void request(String id, String cls) {
        request(id, cls, "free", 1, 1, 1);
    }

    public void endAttempt(String id, int attempt, Outcome outcome, double latency) {
        endAttempt(id, attempt, outcome, latency, 0);
    }

    void endAttempt(String id, int attempt, Outcome outcome, double latency, int usedPct, double... report) {
        policy.attemptEnded(
                now,
                new AttemptResult(
                        id, attempt, lastHostOf(id), outcome, latency, outcome == Outcome.OK, usedPct, 0, report));
    }

    public String lastHostOf(String id) {
        return Objects.requireNonNull(lastHost.get(id));
    }

    public long attemptsOf(String id) {
        return sent.stream().filter(s -> s.id().equals(id)).count();
    }

    long finalAnswersTo(String id) {
        return rejected.stream().filter(id::equals).count()
                + failed.stream().filter(id::equals).count();
    }

    void advanceTo(double end) {
        while (!timers.isEmpty() && timers.peek().at() <= end) {
            Timer t = timers.poll();
            now = Math.max(now, t.at());
            policy.timerFired(now, t.token());
        }
        now = end;
    }

    public void hostsUpdated(HostListKind kind, List<Host> hosts) {
        policy.hostsUpdated(now, kind, hosts);
    }

    public double now() {
        return now;
    }

    public void advance(double ms) {
        advanceTo(now + ms);
    }

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        sent.add(new SentAttempt(now, id, host));
        lastHost.put(id, host);
        actionLog.add(now + " send " + id + " " + host);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        cancelled.add(id);
        actionLog.add(now + " cancel " + id + " " + attempt);
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        rejected.add(id);
        retryAfter.add(retryAfterMs);
        actionLog.add(now + " refuse " + id + " " + retryAfterMs);
    }

    @Override
    public void fail(String id) {
        failed.add(id);
        actionLog.add(now + " fail " + id);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        timers.add(new Timer(now + delayMs, order++, token));
    }

    @Override
    public void startHealthCheck(String host) {
        healthChecks.add(host);
        actionLog.add(now + " probe " + host);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        peerMessages.add(new SentMessage(peer, data));
        actionLog.add(now + " tell " + peer + " " + data.length);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        actionLog.add(now + " count " + counter);
    }

    @Override
    public void subscribeToHosts() {
        actionLog.add(now + " watch");
    }
}
