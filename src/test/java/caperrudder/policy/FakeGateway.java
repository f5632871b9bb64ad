package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.HostState;
import caperrudder.api.Idempotency;
import caperrudder.api.Limits;
import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.PolicyActions;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
import caperrudder.api.Rules;
import caperrudder.api.Settings;
import caperrudder.api.Sharing;
import caperrudder.policy.loadbalancing.LoadBalancer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;

/** A clock and a notebook: plays events into one Brain and keeps what it does. */
public final class FakeGateway implements PolicyActions {
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

    record Sent(double at, String id, String host) {}

    @SuppressWarnings("ArrayRecordComponent") // never compared
    record Told(int peer, byte[] data) {}

    private record Timer(double at, int order, String token) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<Double> retryAfter = new ArrayList<>(); // of each refused
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    final List<Told> told = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final TrafficPolicy brain = new TrafficPolicy(this);
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingInt(Timer::order));
    private final Map<String, String> lastHost = new HashMap<>();
    private int order;
    double now;

    public FakeGateway(double now, Settings settings) {
        this.now = now;
        brain.start(now, settings);
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
                new Limits(4, false, true, true, true, true, 500, 250),
                new Rules(8, 500, 2, 1000, 0.2, 10_000, 0),
                new Sharing(false, 0, 0, false, 4, 60, 0.01, 0.01, 0.01));
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
                new Limits(4, false, true, false, false, true, 500, 250),
                s.rules(),
                new Sharing(false, 0, 1000, false, 4, 0, 0, 0, 0));
    }

    public LoadBalancer loadBalancer() {
        return brain.loadBalancer();
    }

    public static FakeGateway alone() {
        return new FakeGateway(1000, settings(0, 1));
    }

    public static Host host(String id, String zone) {
        return new Host(id, zone, "std", 0, HostState.RUNNING, 1, 0);
    }

    FakeGateway withHosts(String... ids) {
        List<Host> hosts = new ArrayList<>();
        for (String id : ids) {
            hosts.add(host(id, id.substring(0, 1)));
        }
        brain.hostsUpdated(now, HostListKind.FULL, hosts);
        return this;
    }

    void ask(String id, String cls, String plan, long customer, double units, int spread) {
        brain.requestReceived(now, new Request(id, now + 3000, now, false, cls, customer, plan, units, 0, spread));
    }

    public void ask(String id, String cls) {
        ask(id, cls, "free", 1, 1, 1);
    }

    public void end(String id, int attempt, Outcome outcome, double latency) {
        end(id, attempt, outcome, latency, 0);
    }

    void end(String id, int attempt, Outcome outcome, double latency, int usedPct, double... report) {
        brain.attemptEnded(
                now,
                new AttemptResult(
                        id, attempt, hostOf(id), outcome, latency, outcome == Outcome.OK, usedPct, 0, report));
    }

    public String hostOf(String id) {
        return Objects.requireNonNull(lastHost.get(id));
    }

    public long sends(String id) {
        return sent.stream().filter(s -> s.id().equals(id)).count();
    }

    long answers(String id) {
        return refused.stream().filter(id::equals).count()
                + failed.stream().filter(id::equals).count();
    }

    void runTo(double end) {
        while (!timers.isEmpty() && timers.peek().at() <= end) {
            Timer t = timers.poll();
            now = Math.max(now, t.at());
            brain.timerFired(now, t.token());
        }
        now = end;
    }

    public void hostsUpdated(HostListKind kind, List<Host> hosts) {
        brain.hostsUpdated(now, kind, hosts);
    }

    public double now() {
        return now;
    }

    public void pass(double ms) {
        runTo(now + ms);
    }

    @Override
    public void sendAttempt(String id, String host, double timeoutMs) {
        sent.add(new Sent(now, id, host));
        lastHost.put(id, host);
        log.add(now + " send " + id + " " + host);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        cancelled.add(id);
        log.add(now + " cancel " + id + " " + attempt);
    }

    @Override
    public void reject(String id, double retryAfterMs) {
        refused.add(id);
        retryAfter.add(retryAfterMs);
        log.add(now + " refuse " + id + " " + retryAfterMs);
    }

    @Override
    public void fail(String id) {
        failed.add(id);
        log.add(now + " fail " + id);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        timers.add(new Timer(now + delayMs, order++, token));
    }

    @Override
    public void startHealthCheck(String host) {
        probed.add(host);
        log.add(now + " probe " + host);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        told.add(new Told(peer, data));
        log.add(now + " tell " + peer + " " + data.length);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        log.add(now + " count " + counter);
    }

    @Override
    public void subscribeToHosts() {
        log.add(now + " watch");
    }
}
