package caperrudder.policy;

import caperrudder.api.AttemptResult;
import caperrudder.api.ClusterHealth;
import caperrudder.api.DeduplicationScope;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.Idempotency;
import caperrudder.api.Outcome;
import caperrudder.api.Plan;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Request;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import caperrudder.api.Snapshot;
import caperrudder.policy.scheduling.ConcurrencyLimit;
import caperrudder.policy.scheduling.Dispatcher;
import caperrudder.policy.scheduling.FairScheduler;
import caperrudder.policy.scheduling.OverdueShare;
import caperrudder.policy.scheduling.TrafficClass;
import caperrudder.policy.scheduling.TrafficClasses;
import caperrudder.policy.scheduling.WeightController;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Every decision of one gateway: admission, release, weights, host choice, health, tells and the rule guards.
 * Its interface (events, actions, settings) is Gateway.java, beside this file.
 */
public final class TrafficPolicy implements PolicyEvents {
    // Housekeeping
    /** How often timers run: waiting requests expire and messages leave on a tick. */
    static final double TICK_MS = 20;

    private static final double SWEEP_MS = 5000; // how often customers and hosts long gone are forgotten
    private static final double FORGET_MS = 20_000; // idle so long a customer is forgotten, and not before
    private static final double FILLED = 2; // times the time in which its slowest store fills from nothing
    private static final int CUSTOMERS_MAX = 20_000; // books kept; a new customer beyond them is refused
    // Admission by parts
    private static final double DEMAND_MS = 2000; // averaging of demand: longer than gaps between requests
    private static final double EVEN_PRIOR = 0.05; // of the rate, added to a set's demand: all have a part
    private static final double FRESH_MS = 1000; // a keeper's word this old no longer lets in without asking
    private static final double RELAX_MS = 3000; // and from here on the part is the even one
    private static final double LAG_MS = 60; // a told figure's age on arrival: half a gap and the way
    private static final double METER_LAG_MS = 1300; // a metered figure's age: half its period and the way
    private static final double METER_KEPT_MS = 20_000; // a metered figure this old tells nothing any more
    private static final double OPEN_PART = 0.25; // of a set: so many of it may bring a customer at a time
    private static final double PEAK_TURNS = 1.5; // a peak holds so often as each of a set lets in one
    private static final double SPARE = 2; // times its units in the store, where no word of others is fresh
    private static final double WARY = 0.6; // of the rate: what others may use unseen beside their demand
    private static final double RISE_SHARE = 0.5; // of the even part: the largest step by which a part rises
    private static final double LATE_COST = 2; // requests that one more delays, where all hosts queue
    // Keepers and tells
    private static final int KEEPERS = 2; // gateways of a set that keep its books: one may be down
    private static final double ANSWER_MS = 150; // a due answer is missing after so long
    private static final double SILENT_MS = 1000; // a peer that missed an answer is not asked so long
    private static final double SYNC_MS = 300; // how often a keeper tells the other keeper of a customer
    private static final double OWNER_SHARE = 0.5; // of a ceiling, held by the first keeper; the rest evenly
    // Waiting requests
    private static final int SCAN = 16; // held requests passed over for want of a legal host, a turn
    // Hosts
    private static final double SLOW_GAIN = 0.12; // weight of one answer in a host's slowness
    private static final double FAILED_GAIN = 0.4; // weight of a failure or of an overdue attempt
    private static final double BAD_ANSWER = 4; // slowness of a full host, and of one tried before
    private static final double CLEARED = 1.3; // slowness below which a further failure is a first one again
    private static final double TROUBLED = 2.2; // slowness from which a host is worse than chance makes it
    private static final double SILENT_AFTER = 5; // expected times, and
    private static final double QUIET_MS = 400; // so much, after which it is overdue
    private static final String IN_WORK = "inflight"; // a report's name for the requests that a host holds
    private static final double CROWD_GAIN = 0.05; // weight of one report in what warm hosts hold on the mean
    private static final double LEAN = 1.5; // times its share that a host gets at most for what it reports
    private static final double ZONE_COST = 0.05; // crossing zones, as share of the score of an idle host
    private static final double COLD_SAFETY = 0.7; // of a cold host's allowance: bursts fit in the rest
    private static final int HOMES = 8; // hosts a gateway keeps to, while they serve; more
    private static final int HOST_GATEWAYS = 6; // where a host would have fewer gateways than this
    private static final int STEADY = 100; // gateways: of more, homes stay where other hosts come and go
    private static final int ARC = 64; // hosts from which an arc of a ring holds nearly as many as any other
    private static final int COMPARED = 1024; // hosts compared at most where no home may be used
    private static final int DRAWS = 2; // hosts compared at least; more where own counts can tell them apart
    private static final double SURVEY_MS = 500; // how often the hosts are counted

    private final PolicyActions act;
    private TrafficClasses classes = TrafficClasses.NONE; // until started
    private ConcurrencyLimit limit;
    private FairScheduler<PendingRequest, Endpoint> scheduler;
    private WeightController weights;
    private final Map<String, Integer> planNumbers = new LinkedHashMap<>();
    private final Map<Integer, AdmissionOdds> firstOdds = new HashMap<>();
    private final Map<Integer, AdmissionOdds> retryOdds = new HashMap<>();
    private final Map<Long, CustomerQuota> customers = new LinkedHashMap<>();
    private final Map<String, PendingRequest> asks = new LinkedHashMap<>();
    private final LinkedHashSet<PendingRequest> questions = new LinkedHashSet<>();
    private final Map<Endpoint, LinkedHashSet<Attempt>> atWork = new LinkedHashMap<>();
    EndpointTable table;
    List<Endpoint> homes = List.of();
    private Endpoint coldest; // of the homes: the one that started last
    private PeerState[] peers = new PeerState[0];
    private Settings set;
    private Random random;
    private GossipOutbox outbox;
    private double startedAt, sweptAt, surveyedAt;
    double capacity;
    private double lost; // what cold and bad hosts can't do of it, as last counted
    private double crowd; // requests that a warm host holds on the mean of all reports
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
        random = new Random(settings.seed());
        startedAt = now;
        peers = new PeerState[Math.max(1, settings.gatewayCount())];
        Arrays.setAll(peers, PeerState::new);
        outbox = new GossipOutbox(now, peers.length, settings.sharing().peerMessagesPerSecond(), act);
        table = new EndpointTable(peers.length > STEADY);
        classes = new TrafficClasses(settings);
        limit = new ConcurrencyLimit(now, peers.length, classes.all());
        scheduler = new FairScheduler<>(classes.all(), limit, new AttemptDispatcher());
        weights = new WeightController(now, classes.all(), limit);
        for (int i = 0; i < settings.plans().size(); i++)
            planNumbers.put(settings.plans().get(i).name(), i);
        sweptAt = surveyedAt = now;
        stalls = new EventLoopStalls(now, TICK_MS);
        retries = new RetryPolicy(settings.limits());
        retryAfter = new RetryAfter(settings.limits());
        if (settings.subscribesToHosts()) act.subscribeToHosts();
        act.startTimer(TICK_MS, "beat");
    }

    @Override
    public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {
        if (kind == HostListKind.FAILED) act.startTimer(RELAX_MS, "watch");
        if (kind == HostListKind.FAILED) return;
        if (kind != HostListKind.CHANGES) table.beginList();
        for (Host h : hosts) {
            Endpoint s = table.put(h);
            if (h.startedMs() > 0 && h.startedMs() > s.startedAtMs()) {
                s.restarted(h.startedMs(), random.nextDouble()); // or all gateways' first ones would come together
                if (rampOf(s, now) < 1) table.unsettled().add(s);
                if (coldest == null || s.startedAtMs() > coldest.startedAtMs()) coldest = s; // till counted
            }
        }
        if (kind != HostListKind.CHANGES) table.endList();
        // Of many hosts a few cold ones more or less may wait for the next beat.
        if (kind == HostListKind.CHANGES && hosts.size() < table.openCount() / COMPARED) keepHomes(now);
        else survey(now);
        release(now);
    }

    @Override
    public void requestReceived(double now, Request r) {
        TrafficClass cls = classes.find(r.requestClass());
        if (cls == null) act.reject(r.id(), 0); // a class that the settings do not name cannot be judged
        if (cls == null) return;
        Integer plan = planNumbers.get(r.plan());
        CustomerQuota c = plan == null ? null : customer(now, r.customer(), plan, r.firstReplica(), r.replicaCount());
        PendingRequest ask = new PendingRequest(r, cls, c);
        asks.put(r.id(), ask);
        // A stall of ours has used up its time: it is told so at once, before it costs others theirs. It
        // also covers a crowd at a slow start, and could hurt where what was read is younger than the stall.
        if (r.arrivedMs() < now && now >= RequestExpiry.expiresAt(ask)) {
            finish(ask);
            return;
        }
        boolean stranger = plan != null && c == null; // there is no room for its books
        switch (stranger ? Verdict.OUT : c == null ? Verdict.IN : judge(now, ask)) {
            case IN -> letIn(now, ask);
            case OUT -> decide(now, ask, false);
                // While this loop is late no answer would be heard in time, so the own part decides.
            default -> question(now, ask, now - r.arrivedMs() < ANSWER_MS / 2 ? 0 : KEEPERS);
        }
        if (c != null && ask.isAdmitted()) changed(now, c);
        post(now);
    }

    private void letIn(double now, PendingRequest ask) {
        ask.markAdmitted();
        CustomerQuota c = ask.quota();
        if (c != null) noteOpen(now, c, ask.expectedWorkMs());
        if (c != null) charge(c, ask.units(), ask.units());
        scheduler.enqueue(ask);
        release(now);
        // What would wait beyond its use is refused at once, and what has no time left may not wait (rule 1).
        boolean held = !ask.isClosed() && !ask.hasAttempts();
        if (held && now + scheduler.drainTimeMs(ask.trafficClass()) >= RequestExpiry.expiresAt(ask)) finish(ask);
    }

    /**
     * Where the meter alone tells of others, a gateway that lets in one after another counts on many that do
     * the same: the next one comes no sooner than if some of the set in turn kept the limit in use.
     */
    private void noteOpen(double now, CustomerQuota c, double work) {
        c.openPeak = Math.max(c.openPeak, ++c.open);
        boolean alone = c.spread == 1 || c.plan.concurrencyLimit() <= 0 || c.plan.unitsPerSecond() > 0 || !metered();
        c.openTurnMs = alone ? 0 : c.spread * work / c.plan.concurrencyLimit();
        c.openNextAt = now + OPEN_PART * c.openTurnMs;
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
        missAnswers(now);
        if (now - surveyedAt >= SURVEY_MS) survey(now);
        watchHealth(now);
        limit.adapt(now);
        weights.update(now);
        sweep(now);
        release(now);
        post(now);
    }

    /** What came while this gateway stood still is read only now: no peer or host is blamed for that. */
    private void noteStall(double now) {
        double late = stalls.noteTick(now);
        if (late > 0) questions.forEach(a -> a.answerBy += late);
    }

    /** Avoided is what the list says not to use, and what has done so badly that others come before it. */
    @Override
    public ClusterHealth clusterHealth(double now) {
        long bad = table.unsettled().stream()
                .filter(s -> s.isUsable()
                        && classes.all().stream()
                                .anyMatch(c -> s.latencyPenalty(now, c.spec().name()) >= BAD_ANSWER))
                .count();
        return new ClusterHealth(table.listed(), table.drained() + (int) bad);
    }

    @Override
    public Snapshot takeSnapshot(double now) {
        return new SnapshotTransfer(customers, table, classes).write(now, limit.perHost(), c -> touch(now, c));
    }

    /** Before the first request all is taken over; from then on only what the other process still uses. */
    @Override
    public void restoreSnapshot(double now, Snapshot books) {
        for (QuotaSnapshot b : books.quotas()) inherit(now, books.takenAtMs(), b);
        if (!asks.isEmpty() || classes.haveSamples()) return;
        limit.restore(books.concurrencyPerHost());
        new SnapshotTransfer(customers, table, classes).readHealth(now, books.health());
        classes.restore(books.classes());
    }

    private void inherit(double now, double at, QuotaSnapshot b) {
        boolean known = customers.containsKey(b.customer());
        Integer plan = planNumbers.get(b.plan());
        CustomerQuota c = plan == null ? null : customer(now, b.customer(), plan, b.firstReplica(), b.replicaCount());
        if (c == null || c.planNumber != plan) return;
        if (known && c.inherited > State.NEVER) {
            charge(c, Math.max(0, b.usedUnits() - c.inherited), 0);
        } else {
            SnapshotTransfer.readCustomer(now, c, b, known ? c.used : 0);
            if (!known) c.touchedAt = Math.min(now, at);
            touch(now, c);
        }
        c.inherited = Math.max(c.inherited, b.usedUnits());
    }

    // ---- admission by parts

    private enum Verdict {
        IN,
        OUT,
        ASK
    }

    /**
     * A customer's books; null where there is no room for new ones. The plan and the set that came first
     * stand as long as it is remembered: who claims others gets no fresh stores and moves no keeper.
     */
    private CustomerQuota customer(double now, long id, int plan, int first, int spread) {
        CustomerQuota c = customers.get(id);
        if (c == null && customers.size() >= CUSTOMERS_MAX) return null;
        if (c == null) {
            Plan p = set.plans().get(plan);
            int wide = Math.max(1, Math.min(spread, peers.length));
            int[] keepers = State.ranked(id, first, wide, peers.length, KEEPERS);
            c = new CustomerQuota(id, plan, p, first, wide, keepers, now);
            c.level = c.store = p.burstUnits();
            // As full as it ever is; by the meter no more than its part, or all first tries would be let in.
            c.tokens = metered() ? p.burstUnits() / c.spread : bucket(p, 1.0 / c.spread);
            // The ceiling's store starts with what has filled since this gateway started, never with a burst:
            // before a restart this gateway may have spent it (rule 5).
            double filled = (now - startedAt) / 1000 * p.ceilingUnitsPerSecond() * ceilingShare(c);
            c.ceiling = Math.min(ceilingHold(c), filled);
            customers.put(id, c);
        }
        touch(now, c);
        return c;
    }

    /** This gateway's own share of a ceiling: all sum to one, and each is spent by its holder alone. */
    private double ceilingShare(CustomerQuota c) {
        if (c.spread == 1) return 1;
        return (c.keepers[0] == set.gatewayIndex() ? OWNER_SHARE : 0) + (1 - OWNER_SHARE) / c.spread;
    }

    private double ceilingHold(CustomerQuota c) {
        return c.plan.ceilingBurstUnits() * ceilingShare(c);
    }

    private void touch(double now, CustomerQuota c) {
        double s = (now - c.touchedAt) / 1000;
        if (s <= 0) return;
        double fade = Math.exp(-(now - c.touchedAt) / DEMAND_MS);
        Plan p = c.plan;
        double part = part(now, c);
        c.demand *= fade;
        c.others *= fade;
        c.useRate *= fade;
        c.openPeak = Math.max(c.open, c.openPeak * fade);
        c.touchedAt = now;
        c.level = Math.min(p.burstUnits(), c.level + p.unitsPerSecond() * s);
        // What is let in beyond the quota takes nothing from the store: others do not empty it below nought.
        double others = now - c.meterAt < METER_KEPT_MS ? c.meterOthers : 0;
        c.store = Math.max(0, Math.min(p.burstUnits(), c.store + (p.unitsPerSecond() - others) * s));
        c.tokens = Math.min(bucket(p, part), c.tokens + part * p.unitsPerSecond() * s);
        // Units let in but not sent yet are still in the true store, and it may not overfill (rule 5).
        c.ceiling = Math.min(ceilingHold(c) - c.unsent, c.ceiling + p.ceilingUnitsPerSecond() * ceilingShare(c) * s);
    }

    /** What a bucket holds: the burst times its part, and room for one request, or it could let in none. */
    private double bucket(Plan p, double part) {
        return Math.max(
                part * p.burstUnits(), Math.min(p.burstUnits(), set.sharing().maxUnits()));
    }

    /** Whether gateways learn of each other's use by the meter alone. */
    private boolean metered() {
        return !set.limits().peerMessages() && set.sharing().meterPeriodMs() > 0;
    }

    /** This gateway's part of a customer's demand: all parts of one keeper's word sum to one. */
    private double part(double now, CustomerQuota c) {
        if (c.spread == 1) return 1;
        if (!set.limits().peerMessages()) return now - c.meterAt < METER_KEPT_MS ? c.meterPart : 1.0 / c.spread;
        if (now - c.newsAt > RELAX_MS && keeper(now, c, 0) != set.gatewayIndex()) return 1.0 / c.spread;
        double prior = EVEN_PRIOR * c.plan.unitsPerSecond();
        return (c.demand + prior / c.spread) / (c.demand + c.others + prior);
    }

    /** The gateway that decides on a customer, from its keeper {@code stage} on; -1 where none can be had. */
    private int keeper(double now, CustomerQuota c, int stage) {
        for (int i = stage; i < c.keepers.length; i++) {
            int k = c.keepers[i];
            boolean last = i == c.keepers.length - 1;
            if (k == set.gatewayIndex() ? last || !unsure(now, c) : now >= peers[k].silentTill) return k;
        }
        return c.keepers[0] == set.gatewayIndex() ? set.gatewayIndex() : -1;
    }

    /** A keeper new to its life does not know what was used before, until told or until it cannot matter. */
    private boolean unsure(double now, CustomerQuota c) {
        return !c.informed && (now - startedAt) / 1000 * c.plan.unitsPerSecond() < c.plan.burstUnits();
    }

    private Verdict judge(double now, PendingRequest ask) {
        CustomerQuota c = ask.quota();
        double units = ask.units();
        c.demand += units / DEMAND_MS * 1000;
        Plan p = c.plan;
        boolean excessPays = p.overQuotaValue() > 0 && p.overQuotaValue() >= p.overQuotaCost();
        boolean limited = p.unitsPerSecond() > 0 && !excessPays;
        if (!excessPays && !openAdmits(now, c) || limited && c.level < units) {
            if (now - c.toldAt > SYNC_MS) changed(now, c);
            return Verdict.OUT;
        }
        boolean asks = set.limits().peerMessages() && c.spread > 1;
        if (!excessPays && metered() && c.spread > 1 && !oddsAdmit(now, ask)) return Verdict.OUT;
        int keeper = keeper(now, c, 0);
        boolean room = !limited
                || keeper == set.gatewayIndex() && asks
                || c.tokens >= units && (!asks || now - c.newsAt < FRESH_MS)
                || asks && now - c.newsAt < FRESH_MS && c.level - reserve(now, c) >= units
                || metered() && meterAdmits(now, c, units);
        boolean ceiling = p.ceilingUnitsPerSecond() <= 0 || c.ceiling >= units; // rule 5: own units need no peer
        if (room && ceiling) return Verdict.IN;
        return asks ? Verdict.ASK : Verdict.OUT;
    }

    /** What the others may have used since a keeper told, as far as it matters against the excess cost. */
    private double reserve(double now, CustomerQuota c) {
        double cost = c.plan.overQuotaCost() - c.plan.overQuotaValue();
        double rate = c.others + WARY * c.plan.unitsPerSecond();
        return rate * (now - c.newsAt + LAG_MS) / 1000 * 2 * cost / (1 + cost);
    }

    /**
     * Room in the whole store by the meter. Among many gateways each meets a customer seldom, and its part of
     * the bucket is less than a request: if all waited for fresh word, all would refuse one whose store is
     * full. So what others use is held against it only while the last figure is fresh and over the rate.
     */
    private static boolean meterAdmits(double now, CustomerQuota c, double units) {
        double age = now - c.meterAt;
        if (age < FRESH_MS && c.meterTotal > c.plan.unitsPerSecond()) {
            return c.store - c.meterOthers * (age + METER_LAG_MS) / 1000 >= units;
        }
        return c.store >= Math.min(c.plan.burstUnits(), SPARE * units);
    }

    /** Whether a try is worth its odds of being beyond the quota, which the meter alone tells of. */
    private boolean oddsAdmit(double now, PendingRequest ask) {
        CustomerQuota c = ask.quota();
        RequestClass spec = ask.trafficClass().spec();
        double inTime = ask.trafficClass().shareWithinObjective(ask.expectedWorkMs());
        double useful = inTime + (1 - inTime) * spec.lateValue();
        return odds(ask).admits(now, ask.units(), useful, LATE_COST * lateness.share(), now - c.meterAt, c.meterUse);
    }

    /** Where clients mark a further try, one has been refused already: its odds are others. */
    private AdmissionOdds odds(PendingRequest ask) {
        Map<Integer, AdmissionOdds> ofPlans = ask.request().clientRetry() ? retryOdds : firstOdds;
        return ofPlans.computeIfAbsent(
                ask.quota().planNumber,
                p -> new AdmissionOdds(ask.quota().plan, set.sharing().meterPeriodMs()));
    }

    private boolean openAdmits(double now, CustomerQuota c) {
        int limit = c.plan.concurrencyLimit();
        boolean fresh = c.spread == 1
                || (set.limits().peerMessages()
                        ? keeper(now, c, 0) == set.gatewayIndex() || now - c.newsAt < FRESH_MS
                        : now < c.peakTill);
        return limit <= 0
                || now >= c.openNextAt
                        && (fresh ? c.open + c.othersOpen < limit : c.open < Math.max(1, (int) (limit * part(now, c))));
    }

    /** When the store has filled enough, or a place may be had; every refusal tells a time to come back. */
    private static double refillMs(double now, CustomerQuota c, double units) {
        return c.plan.unitsPerSecond() > 0 ? 1000 * (units - c.level) / c.plan.unitsPerSecond() : c.openNextAt - now;
    }

    /** Takes units from the quota's and the ceiling's stores, or gives them back where negative. */
    private void charge(CustomerQuota c, double units, double ceilingUnits) {
        c.tokens = Math.max(c.tokens - units, -c.plan.burstUnits() / c.spread);
        c.level = Math.max(-c.plan.burstUnits(), Math.min(c.plan.burstUnits(), c.level - units));
        c.store = Math.max(0, Math.min(c.plan.burstUnits(), c.store - units));
        c.used += units;
        c.useRate += units / DEMAND_MS * 1000;
        c.unsent += ceilingUnits;
        c.ceiling -= ceilingUnits;
    }

    private void meter(double now, PendingRequest ask, int usedPct) {
        CustomerQuota c = ask.quota();
        if (usedPct <= 0 || !metered()) return;
        c.meterUse = (usedPct - 1) / 100.0;
        if (odds(ask).isUnknown(now - c.meterAt)) odds(ask).learn(now, ask.units(), c.meterUse);
        if (c.plan.unitsPerSecond() <= 0) { // it tells the most attempts out at once of late, in percent of their limit
            touch(now, c);
            double peak = c.meterUse * c.plan.concurrencyLimit();
            c.othersOpen = c.spread == 1 ? 0 : (int) Math.max(0, Math.round(peak - c.openPeak));
            c.meterPart = 1.0 / c.spread;
            c.meterAt = now;
            // So long that if each gateway then let in one, these would be half of the limit on the mean.
            c.peakTill = now + PEAK_TURNS * c.openTurnMs;
            return;
        }
        double total = c.meterUse * c.plan.unitsPerSecond();
        double part = total > 0 ? Math.min(1, c.useRate / total) : 1.0 / c.spread;
        boolean rises = total < c.plan.unitsPerSecond() && c.demand > part * c.plan.unitsPerSecond();
        double step = Math.min(EVEN_PRIOR, RISE_SHARE / c.spread);
        c.meterPart = rises ? Math.min(1, Math.max(part, c.meterPart) + step) : part;
        c.meterAt = now;
        c.meterTotal = total;
        c.meterOthers = Math.max(0, total - c.useRate);
    }

    /** Holds a request for the word of the next keeper that may know; without one the even part decides. */
    private void question(double now, PendingRequest ask, int stage) {
        CustomerQuota c = ask.quota();
        int keeper = stage < c.keepers.length ? keeper(now, c, stage) : -1;
        if (keeper < 0 || keeper == set.gatewayIndex() || now + ANSWER_MS >= RequestExpiry.answerDueAt(ask)) {
            c.pending.remove(ask);
            boolean room = c.plan.unitsPerSecond() <= 0 || (keeper < 0 ? c.tokens : c.level) >= ask.units();
            decide(now, ask, room && (c.plan.ceilingUnitsPerSecond() <= 0 || c.ceiling >= ask.units()));
            changed(now, c);
            return;
        }
        ask.stage = keeper == c.keepers[0] ? 0 : c.keepers.length - 1;
        ask.keeper = keeper;
        ask.askSerial = peers[keeper].serial + 1; // of the next message: the last one did not ask for it
        ask.answerBy = now + ANSWER_MS;
        if (!c.pending.contains(ask)) c.pending.addLast(ask);
        questions.add(ask);
        c.toldAt = now;
        outbox.queue(peers[keeper], c);
    }

    private void decide(double now, PendingRequest ask, boolean in) {
        if (in) letIn(now, ask);
        if (in) return;
        close(ask);
        CustomerQuota c = ask.quota();
        act.reject(ask.id(), retryAfter.of(c == null ? FORGET_MS : refillMs(now, c, ask.units())));
    }

    /** Silence of a peer shows only where an answer was due: then it is passed over for a while. */
    private void missAnswers(double now) {
        questions.removeIf(a -> a.isClosed() || a.isAdmitted());
        for (PendingRequest ask :
                questions.stream().filter(a -> now >= a.answerBy).toList()) {
            questions.remove(ask);
            peers[ask.keeper].silentTill = now + SILENT_MS;
            touch(now, ask.quota());
            question(now, ask, ask.stage + 1);
        }
    }

    /** The keeper in charge is to know at once; where it is this gateway, the other keepers now and then. */
    private void changed(double now, CustomerQuota c) {
        if (!set.limits().peerMessages() || c.spread == 1) return;
        int keeper = keeper(now, c, 0);
        if (keeper != set.gatewayIndex()) {
            c.toldAt = now;
            if (keeper >= 0) outbox.queue(peers[keeper], c);
        } else if (now - c.toldAt > SYNC_MS) {
            c.toldAt = now;
            IntStream.of(c.keepers).filter(k -> k != set.gatewayIndex()).forEach(k -> outbox.queue(peers[k], c));
        }
    }

    private void post(double now) {
        outbox.post(now, (peer, c, answers) -> {
            touch(now, c);
            return answers ? answer(now, c, peer) : tellOf(now, c, peer);
        });
    }

    private QuotaEntry tellOf(double now, CustomerQuota c, PeerState keeper) {
        for (PendingRequest a : c.pending) if (a.keeper == keeper.number) a.askSerial = keeper.serial;
        double want = c.pendingUnits();
        boolean asked = keeper(now, c, 0) == keeper.number
                || now < keeper.silentTill
                || c.pending.stream().anyMatch(a -> a.keeper == keeper.number);
        boolean view = keeper(now, c, 0) == set.gatewayIndex() || now - c.newsAt < FRESH_MS;
        return new ReplicaReport(
                c.id,
                c.planNumber,
                c.first,
                c.spread,
                c.used,
                want,
                c.demand,
                c.open,
                view ? OptionalDouble.of(c.fullness()) : OptionalDouble.empty(),
                asked,
                c.plan.ceilingUnitsPerSecond() > 0 && c.ceiling < want);
    }

    private QuotaEntry answer(double now, CustomerQuota c, PeerState to) {
        ReplicaState m = c.member(to);
        double theirs = m.demand * Math.exp(-(now - m.demandAt) / DEMAND_MS);
        return new OwnerReply(
                c.id,
                c.planNumber,
                m.booked,
                m.granted,
                Math.max(0, c.demand + c.others - theirs),
                c.open + c.othersOpen - m.open,
                c.fullness(),
                unsure(now, c),
                c.plan.ceilingUnitsPerSecond() > 0 ? OptionalDouble.of(m.given) : OptionalDouble.empty());
    }

    @Override
    public void peerMessageReceived(double now, int from, byte[] data) {
        if (from < 0 || from >= peers.length || from == set.gatewayIndex()) return; // unknown sender
        Optional<QuotaMessage> decoded = QuotaMessageCodec.decode(data);
        if (decoded.isEmpty()) return; // damaged
        QuotaMessage tell = decoded.get();
        PeerState peer = peers[from];
        if (!outbox.takesIn(now, peer, tell)) return;
        boolean toThisLife = tell.receiverIncarnation() == outbox.epoch();
        for (QuotaEntry e : tell.entries()) {
            if (e.planNumber() >= set.plans().size()) continue;
            if (e instanceof OwnerReply reply) hearAnswer(now, peer, reply, tell.acknowledgedSerial(), toThisLife);
            else if (e instanceof ReplicaReport report) hearTell(now, peer, report);
        }
        post(now);
    }

    /** As a keeper: books what was used, grants of what is wanted as far as the store has it. */
    private void hearTell(double now, PeerState peer, ReplicaReport e) {
        int place = Math.floorMod(peer.number - e.firstReplica(), peers.length);
        if (e.replicaCount() > peers.length || place >= e.replicaCount()) return; // a set that cannot be
        CustomerQuota c = customer(now, e.customer(), e.planNumber(), e.firstReplica(), e.replicaCount());
        if (c == null) return;
        if (IntStream.of(c.keepers).noneMatch(k -> k == set.gatewayIndex())) return;
        boolean unsure = unsure(now, c);
        boolean adopts = e.fullness().isPresent() && (unsure || keeper(now, c, 0) == peer.number);
        if (adopts) { // the word of the keeper in charge, or of anyone fresh where this one knows nothing
            c.level = Math.min(
                    unsure ? c.level : c.plan.burstUnits(), e.fullness().getAsDouble() * c.plan.burstUnits());
            c.informed = true;
        }
        ReplicaState m = c.member(peer);
        c.others = Math.max(0, c.others + e.demandPerSecond() - m.demand * Math.exp(-(now - m.demandAt) / DEMAND_MS));
        m.demand = e.demandPerSecond();
        m.demandAt = now;
        // Given back is at most what was granted or open. A count that falls further began anew, since its
        // sender had forgotten the customer, and would fill the store.
        double back = m.granted + m.open * set.sharing().maxUnits();
        c.othersOpen += e.openRequests() - m.open;
        m.open = e.openRequests();
        double spent = m.known && !adopts ? Math.max(-back, SerialArithmetic.unitsAhead(e.usedUnits(), m.booked)) : 0;
        m.known = true;
        c.level = Math.max(-c.plan.burstUnits(), Math.min(c.plan.burstUnits(), c.level - spent));
        boolean gives = e.wantsCeilingUnits() && c.plan.ceilingUnitsPerSecond() > 0;
        boolean grants = e.wantedUnits() > 0
                && (c.plan.unitsPerSecond() <= 0 || c.level >= e.wantedUnits())
                && (!gives || c.ceiling >= e.wantedUnits());
        m.granted = grants ? e.wantedUnits() : 0;
        m.booked = e.usedUnits() + m.granted;
        c.level -= m.granted;
        if (keeper(now, c, 0) == set.gatewayIndex() && spent + m.granted != 0) changed(now, c);
        if (grants && gives && e.wantsReply()) { // deducted here first, so a lost message loses units
            c.ceiling -= e.wantedUnits();
            m.given += e.wantedUnits();
        }
        if (e.wantsReply()) {
            peer.answers.add(c);
            outbox.queue(peer, null);
        }
    }

    /** A keeper's word: the store and the others' demand, and what of the wanted units is granted. */
    private void hearAnswer(double now, PeerState peer, OwnerReply e, int mySerial, boolean toThisLife) {
        CustomerQuota c = customers.get(e.customer());
        if (c == null || !toThisLife) return;
        touch(now, c);
        if (c.planNumber != e.planNumber()) { // one of the two was told a wrong plan: this grants nothing
            List<PendingRequest> asked =
                    c.pending.stream().filter(a -> a.keeper == peer.number).toList();
            asked.forEach(a -> decide(now, a, false));
            return;
        }
        ReplicaState m = c.member(peer);
        double given = e.ceilingUnitsGiven().orElse(0);
        if (given > m.taken) {
            c.ceiling = Math.min(ceilingHold(c) - c.unsent, c.ceiling + given - m.taken);
            m.taken = given;
        }
        List<PendingRequest> judged = c.pending.stream()
                .filter(a -> a.keeper == peer.number && !SerialArithmetic.isAfter(a.askSerial, mySerial))
                .toList();
        if (!e.uncertain()) {
            c.others = e.othersDemandPerSecond();
            c.othersOpen = e.othersOpenRequests();
            c.newsAt = now;
            c.informed = true;
            c.level = e.fullness() * c.plan.burstUnits() - SerialArithmetic.unitsAhead(c.used, e.bookedUnits());
        }
        double granted = e.grantedUnits();
        for (PendingRequest ask : judged) {
            double units = ask.units();
            if (e.uncertain() && ask.stage + 1 < c.keepers.length) {
                question(now, ask, ask.stage + 1);
                continue;
            }
            c.pending.remove(ask);
            boolean in = granted >= units && (c.plan.ceilingUnitsPerSecond() <= 0 || c.ceiling >= units);
            granted -= in ? units : 0;
            decide(now, ask, in);
            int first = c.keepers[0]; // it did not book what another let in
            if (in && peer.number != first && first != set.gatewayIndex()) outbox.queue(peers[first], c);
        }
    }

    /** Dispatches what may leave now. */
    private void release(double now) {
        scheduler.dispatch(now, limit.slots(capacity));
    }

    private final class AttemptDispatcher implements Dispatcher<PendingRequest, Endpoint> {
        @Override
        public Endpoint findDestination(double now, PendingRequest request) {
            return pick(now, request);
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
            if (ask.quota() != null) ask.quota().unsent -= ask.units();
        }
        table.unsettled().add(s);
        if (!ask.isBodyPending()) place(now, a);
        act.sendAttempt(ask.id(), s.host().id(), 0);
    }

    /** An attempt begins to work; one whose request is still arriving does not yet. */
    private void place(double now, Attempt a) {
        if (a.isWorking()) return;
        a.beginWork(now, stalls.totalMs());
        a.endpoint().startAttempt(a.expectedWorkMs());
        atWork.computeIfAbsent(a.endpoint(), s -> new LinkedHashSet<>(4)).add(a);
        limit.acquire();
    }

    private void vacate(Attempt a) {
        if (!a.isWorking()) return;
        a.endWork();
        limit.release();
        a.endpoint().finishAttempt(a.expectedWorkMs());
        atWork.get(a.endpoint()).remove(a);
        if (a.endpoint().isIdle()) atWork.remove(a.endpoint());
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
        c.pending.remove(ask);
        if (!ask.isAdmitted()) return;
        c.open--;
        if (!ask.hasAttempts() || ask.isBodyPending()) { // let in but never sent whole: the units go back
            charge(c, -ask.units(), -ask.units());
        }
    }

    // ---- hosts

    private double rampOf(Endpoint s, double now) {
        double from = set.rules().coldStartCapacity();
        double done = (now - s.startedAtMs()) / Math.max(1, set.rules().slowStartMs());
        return done >= 1 ? 1 : Math.max(0.01, from + (1 - from) * Math.max(0, done));
    }

    /** Counts what the hosts in use can do, so that each event needs only look-ups. */
    private void survey(double now) {
        surveyedAt = now;
        table.unsettled().removeIf(s -> s.isUntried() && rampOf(s, now) >= 1);
        lost = table.unsettled().stream()
                .filter(Endpoint::isUsable)
                .mapToDouble(s -> s.latencyPenalty(now) < BAD_ANSWER ? 1 - rampOf(s, now) : 1)
                .sum();
        keepHomes(now);
    }

    /**
     * Each gateway keeps to some hosts, in turn with the others: more answers and warm connections at each,
     * and tables that do not fill where there are hundreds of gateways. Of many each has an arc of a ring: a
     * host that comes is a home more for those whose arcs it lies in. Few hosts would lie there unevenly.
     */
    private void keepHomes(double now) {
        int size = table.openCount();
        int kept = Math.max(HOMES, HOST_GATEWAYS * size / peers.length);
        boolean steady = peers.length > STEADY;
        long me = set.gatewayIndex();
        long first = steady ? me * size / peers.length : me * kept % Math.max(1, size);
        List<Endpoint> run = steady && kept >= ARC
                ? table.arc(set.gatewayIndex(), HOST_GATEWAYS, peers.length, HOMES)
                : table.run((int) first, Math.min(kept, size));
        if (run != homes || surveyedAt == now) coldest = EndpointTable.lastStarted(run);
        homes = run;
        capacity = size - lost;
    }

    /**
     * The best of a few hosts drawn by what each can do; null where none may be used. The best by the few own
     * counts of one of many gateways would be the best of all at once, so hosts are drawn: as many as own
     * attempts out can tell apart, and where that is all of them, all.
     */
    private Endpoint pick(double now, PendingRequest ask) {
        int draws = Math.min(homes.size(), DRAWS + 2 * limit.inUse());
        Endpoint best = best(now, ask, ownCounts() ? homes : drawn(now, ask.trafficClass(), draws), false);
        boolean warm = coldest == null || rampOf(coldest, now) >= 1;
        if (warm) random.nextDouble(); // the draw that no cold host would win
        Endpoint cold = warm ? null : coldInTurn(now, ask);
        if (cold != null && (best == null || cold.isIdle())) return cold;
        if (best != null) return best;
        best = best(now, ask, others(ask), true);
        if (best != null) best.setSlowStartCredit(Math.max(-1, best.slowStartCredit() - 1)); // that was its turn
        return best;
    }

    /** All hosts; of very many some from a drawn one on, among those that an unsure attempt's key allows. */
    private List<Endpoint> others(PendingRequest ask) {
        boolean keyed =
                table.openCount() > COMPARED && ask.trafficClass().spec().idempotency() == Idempotency.IDEMPOTENCY_KEY;
        Host ran = keyed && ask.firstThatMayHaveRun() != null
                ? ask.firstThatMayHaveRun().endpoint().host()
                : null;
        Collection<RankedEndpoints> legal = table.open(
                ran,
                ran == null ? DeduplicationScope.ALL : ask.trafficClass().spec().deduplicationScope());
        int count = legal.stream().mapToInt(RankedEndpoints::size).sum();
        int from = count > COMPARED ? random.nextInt(count) : 0;
        return EndpointTable.round(legal, from, Math.min(COMPARED, count));
    }

    /**
     * A cold host whose turn it is by what it can do, or null where it is a warm one's. Its own counts tell a
     * gateway of many nothing of how full the warm hosts are: by score alone the cold ones would stay idle.
     * A cold one saves up for each request instead of being drawn for it: the sum of many gateways' chances
     * soon exceeds the few that it bears (rule 4).
     */
    private Endpoint coldInTurn(double now, PendingRequest ask) {
        double left = random.nextDouble()
                * homes.stream()
                        .mapToDouble(s -> able(now, s, ask.trafficClass()))
                        .sum();
        for (Endpoint s : homes) {
            left -= able(now, s, ask.trafficClass());
            if (left > 0) continue;
            if (rampOf(s, now) >= 1 || !legal(now, ask, ask.firstThatMayHaveRun(), s)) return null;
            double credit = s.slowStartCredit() + Math.min(1, coldShare(s, now));
            s.setSlowStartCredit(credit < 1 ? credit : credit - 1);
            return credit < 1 ? null : s;
        }
        return null;
    }

    /** What may go to a host as a share of what a full one gets; over 1 where it is nearly warm (rule 4). */
    private double coldShare(Endpoint s, double now) {
        return COLD_SAFETY * set.rules().overloadMultiple() * rampOf(s, now);
    }

    private double able(double now, Endpoint s, TrafficClass c) {
        return s.isUsable()
                ? lean(now, s)
                        * rampOf(s, now)
                        / Math.max(1, s.latencyPenalty(now, c.spec().name()))
                : 0;
    }

    /**
     * More for a host that holds less than others for what it can do, by its last report. Reports are late,
     * so they only shift the chance of a turn: if all took the host that reports least, they would fill it.
     */
    private double lean(double now, Endpoint s) {
        if (!s.hasReportedLoad()) return 1;
        return Math.max(1 / LEAN, Math.min(LEAN, (1 + crowd) / (1 + s.reportedLoad() / rampOf(s, now))));
    }

    private void noteLoad(double now, Endpoint s, double[] report) {
        int place = set.loadReportFields().indexOf(IN_WORK);
        if (place < 0 || place >= report.length) return;
        s.setReportedLoad(report[place]);
        crowd += CROWD_GAIN * (s.reportedLoad() / rampOf(s, now) - crowd);
    }

    private boolean ownCounts() {
        return DRAWS + 2 * limit.inUse() >= homes.size();
    }

    private Collection<Endpoint> drawn(double now, TrafficClass c, int draws) {
        LinkedHashSet<Endpoint> drawn = new LinkedHashSet<>();
        for (int i = 0; i < draws * SCAN && drawn.size() < draws; i++) {
            Endpoint s = homes.get(random.nextInt(homes.size()));
            if (random.nextDouble() * s.latencyPenalty(now, c.spec().name()) <= 1) drawn.add(s);
        }
        return drawn;
    }

    private Endpoint best(double now, PendingRequest ask, Collection<Endpoint> among, boolean colds) {
        Endpoint best = null;
        double bestScore = Double.MAX_VALUE;
        for (Endpoint s : among) {
            if (!s.isUsable() || !legal(now, ask, ask.firstThatMayHaveRun(), s)) continue;
            // A cold host has its turns beside; where there is no other, it takes part seldom (rule 4).
            boolean cold = rampOf(s, now) < 1;
            if (cold && (!colds || random.nextDouble() * among.size() > coldShare(s, now))) continue;
            double score = score(now, ask, s) * (1 + 1e-3 * random.nextDouble());
            if (score < bestScore) best = s;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    private double score(double now, PendingRequest ask, Endpoint s) {
        double doubt = s.latencyPenalty(now, ask.trafficClass().spec().name());
        if (!ownCounts() && doubt < TROUBLED) doubt = 1; // drawn by it already
        for (Attempt a : ask.attempts()) {
            if (a.endpoint() == s) doubt *= BAD_ANSWER;
        }
        // A zone is preferred only where own counts show its load, or all would gather in a crowded one.
        double zone = !ownCounts() || s.host().zone().equals(set.zone()) ? 0 : ZONE_COST * ask.expectedWorkMs();
        return (ask.expectedWorkMs() + s.outstandingWorkMs()) * doubt / rampOf(s, now) + zone;
    }

    /** Rule 2: once an attempt may have run, only where a repeat does no harm. */
    private boolean legal(double now, PendingRequest ask, Attempt ran, Endpoint s) {
        return retries.isRepeatable(now, ask)
                && (ran == null
                        || ask.trafficClass().spec().idempotency() != Idempotency.IDEMPOTENCY_KEY
                        || ask.trafficClass()
                                .spec()
                                .deduplicationScope()
                                .isSharedBy(s.host(), ran.endpoint().host()));
    }

    private void learn(double now, PendingRequest ask, Attempt a, AttemptResult r) {
        Endpoint s = a.endpoint();
        TrafficClass c = ask.trafficClass();
        switch (r.outcome()) {
            case OK -> {
                s.scores().overall().record(r.latencyMs() / Math.max(1, a.expectedWorkMs()), SLOW_GAIN, now);
                OutlierScore ofClass = s.scores().of(c.spec().name());
                ofClass.record(1, SLOW_GAIN, now);
                s.scores().overall().clearFailures();
                // A host that fails most requests at once serves some: one good answer clears it of nothing.
                if (ofClass.latencyPenalty(now) < CLEARED) ofClass.clearFailures();
                c.noteServed(r.latencyMs(), now - ask.arrivedAt(), ask.units());
                lateness.note(now - ask.arrivedAt() > c.spec().latencyObjectiveMs());
                if (ask.quota() != null && set.sharing().postPaid() && r.trueUnits() > 0) {
                    charge(ask.quota(), r.trueUnits() - ask.units(), 0);
                }
            }
                // No connection, and again none: down or full, the host takes nothing from us now.
            case CONNECT_FAILED -> s.scores().overall().recordFailure(1, now);
            case REJECTED -> s.scores().overall().record(BAD_ANSWER, FAILED_GAIN, now);
            case ERROR, RESET, TIMEOUT -> {
                s.scores().of(c.spec().name()).recordFailure(FAILED_GAIN, now);
                // Among many gateways each meets a host too seldom to convict it class by class.
                boolean several = classes.all().stream()
                                .filter(k -> s.scores().of(k.spec().name()).hasFailures())
                                .count()
                        > 1;
                if (several) s.scores().overall().record(OutlierScore.MAX_PENALTY, FAILED_GAIN, now);
            }
            default -> {}
        }
        noteLoad(now, s, r.loadReport());
        if (r.outcome() == Outcome.TIMEOUT) limit.noteTimeout();
        if (r.outcome() == Outcome.OK) {
            double baseMs = c.latency().baseMs(ask.units());
            limit.noteResponse(r.latencyMs(), baseMs, c.spec().latencyObjectiveMs());
        }
        if (ask.quota() != null) meter(now, ask, r.quotaUsedPercent());
    }

    private void watchHealth(double now) {
        for (Endpoint s : new ArrayList<>(atWork.keySet())) {
            for (Attempt a : new ArrayList<>(atWork.getOrDefault(s, new LinkedHashSet<>()))) {
                double expected = a.expectedWorkMs() * Math.max(1, s.latencyPenalty(now));
                double waited = a.elapsedMs(now, stalls.totalMs());
                if (a.isOverdue() || waited <= SILENT_AFTER * expected + QUIET_MS) continue;
                a.markOverdue();
                s.scores().of(a.request().trafficClass().spec().name()).recordFailure(FAILED_GAIN, now);
                if (retries.shouldCancel(now, a)) act.cancelAttempt(a.request().id(), a.number());
            }
        }
    }

    /** From then on an idle customer's stores are as full as those of a new one: forgetting gives nothing. */
    private static double forgetMs(Plan p) {
        double quota = p.unitsPerSecond() > 0 ? p.burstUnits() / p.unitsPerSecond() : 0;
        double ceiling = p.ceilingUnitsPerSecond() > 0 ? p.ceilingBurstUnits() / p.ceilingUnitsPerSecond() : 0;
        return Math.max(FORGET_MS, FILLED * 1000 * Math.max(quota, ceiling));
    }

    private void sweep(double now) {
        if (now - sweptAt < SWEEP_MS) return;
        sweptAt = now;
        customers.values().removeIf(c -> now - c.touchedAt > forgetMs(c.plan) && c.open == 0 && c.pending.isEmpty());
        table.forgetUnlisted();
    }
}
