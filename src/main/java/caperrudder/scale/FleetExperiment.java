package caperrudder.scale;

import caperrudder.api.AttemptResult;
import caperrudder.api.Outcome;
import caperrudder.api.Request;
import caperrudder.api.Settings;
import caperrudder.scale.SimulatedDiscovery.Entry;
import caperrudder.scale.SimulatedDiscovery.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * One round of the measurement at one size: hollow gateways on a simulated clock before stand-ins for hosts,
 * discovery, meter and clients. Each round begins anew from the seed, so that rounds of one process make the same
 * decisions; what one event costs its loop is measured, the stand-ins' own work is not.
 */
final class FleetExperiment {
    private static final double START_MS = 1.8e12; // Unix time; lives of gateways are told by it
    private static final double WAY_MS = 1; // of a message between gateways
    private static final double ANSWER_MS = 20; // the mean of a host's answers, of which each takes half at least
    private static final double FIGURES_MS = 100; // how often a real gateway reckons its second address's figures
    private static final double BEAT_MS = 20;
    private static final double SETTLE_MS = 2000;
    private static final double CHANGE_GAP_MS = 50;
    private static final double SILENT_MS = 1000; // from a machine's vanishing to discovery's word
    private static final double EVENT_S = 3; // for which a loss and a return are watched
    private static final double DEADLINE_MS = 3000;
    private static final double MS_PER_S = 1000;
    private static final int CORES = 8; // of a host, for its reports

    /** A request that is under way; what its events have cost so far. */
    private static final class Open {
        final SimulatedGateway at;
        final int tenant;
        final double deadlineMs;
        long nanos;
        long bytes;
        int attempts;
        int out;
        boolean closed;
        final boolean[] ended = new boolean[FleetSettings.MAX_ATTEMPTS];

        Open(SimulatedGateway at, int tenant, double deadlineMs) {
            this.at = at;
            this.tenant = tenant;
            this.deadlineMs = deadlineMs;
        }
    }

    private final FleetSize sizes;
    private final Progress progress;
    private final String step;
    private final SimulatedClock clock = new SimulatedClock(START_MS);
    private final SimulatedDiscovery discovery;
    private final Tenants tenants;
    private final Random random;
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final Map<Integer, SimulatedGateway> byNumber = new HashMap<>();
    private final Map<String, Open> open = new HashMap<>();
    private final Set<String> met = new HashSet<>();
    private final Measurements figures;
    private PhaseCosts costs = new PhaseCosts();
    private long serial;

    FleetExperiment(FleetSize sizes, Progress progress, String step) {
        this.sizes = sizes;
        this.progress = progress;
        this.step = step;
        this.figures = new Measurements(sizes.hosts());
        this.random = new Random(sizes.seed());
        this.discovery = new SimulatedDiscovery(sizes.hosts(), sizes.seed(), FleetExperiment::address);
        this.tenants = new Tenants(
                sizes.tenants(), sizes.fleet(), sizes.spread(), settings(0).plans());
    }

    private static String address(int number) {
        return "10." + (number >> 16) + '.' + (number >> 8 & 255) + '.' + (number & 255) + ":5000";
    }

    private Settings settings(int number) {
        return FleetSettings.of(
                number,
                sizes.fleet(),
                SimulatedDiscovery.zoneName(number % SimulatedDiscovery.ZONES),
                sizes.sharing(),
                sizes.seed() * 1_000_003 + number);
    }

    /** All phases, one after the other. */
    Measurements run() {
        HeapUsage heap = new HeapUsage();
        wholeLists(heap);
        meetTenants(heap);
        requests();
        idle();
        changes();
        loss();
        heap.tellPeak(figures);
        return figures;
    }

    // ---- phases

    private void begin(String phase) {
        costs = new PhaseCosts();
        met.clear();
        progress.at(step + ", " + phase, 0, 1);
    }

    private void wholeLists(HeapUsage heap) {
        begin("whole lists");
        byte[] text = discovery.whole();
        long before = heap.held();
        for (int i = 0; i < sizes.gateways(); i++) {
            int number = (int) ((long) i * sizes.fleet() / sizes.gateways());
            Settings settings = settings(number);
            SimulatedGateway[] self = new SimulatedGateway[1];
            SimulatedGateway g = new SimulatedGateway(
                    settings,
                    (kind, name, host, place, delayMs, message) ->
                            carryOut(self[0], kind, name, host, place, delayMs, message));
            self[0] = g;
            gateways.add(g);
            byNumber.put(number, g);
            double offsetMs = i * BEAT_MS / sizes.gateways(); // or all beats would fall together
            clock.after(offsetMs, () -> g.tell(costs.starts, m -> m.start(clock.nowMs(), settings)));
            clock.after(offsetMs + BEAT_MS, () -> {
                g.tellHosts(costs.reading, costs.telling, costs.lists, clock.nowMs(), text);
                clock.after(FIGURES_MS, () -> reckon(g));
                progress.at(step + ", whole lists read", costs.lists.count(), sizes.gateways());
            });
        }
        clock.pass(BEAT_MS - 1);
        long started = heap.held();
        clock.pass(BEAT_MS + 1);
        long listed = heap.held();
        clock.pass(MS_PER_S); // the figures of a second address have been reckoned, too
        figures.count("list.text", text.length, "bytes");
        figures.ms("list.read.cpu", costs.reading.meanNanos());
        figures.measured("list.read.allocated", costs.reading.meanBytes(), "bytes");
        figures.ms("list.cpu", costs.lists.meanNanos());
        figures.measured("list.allocated", costs.lists.meanBytes(), "bytes");
        figures.ms("list.longest.cpu", costs.lists.longestNanos());
        figures.ms("list.longest.wall", costs.lists.longestWallNanos());
        figures.measured("gateway.held.started", (double) (started - before) / sizes.gateways(), "bytes");
        figures.measured("gateway.held.listed", (double) (listed - before) / sizes.gateways(), "bytes");
        figures.measured("gateway.held.reckoned", (double) (heap.held() - before) / sizes.gateways(), "bytes");
    }

    private void reckon(SimulatedGateway g) {
        clock.after(FIGURES_MS, () -> reckon(g));
        g.tell(costs.reckonings, m -> m.clusterHealth(clock.nowMs()));
    }

    /** Each gateway serves one request of each of its tenants. */
    private void meetTenants(HeapUsage heap) {
        long before = heap.held();
        begin("tenants");
        double gapMs = MS_PER_S / sizes.requestsPerS() / 4;
        long all = 0;
        for (SimulatedGateway g : gateways) {
            int count = tenants.of(g.number);
            all += count;
            meet(g, 0, count, gapMs);
        }
        int most = gateways.stream().mapToInt(g -> tenants.of(g.number)).max().orElse(0);
        clock.pass(most * gapMs + SETTLE_MS);
        figures.count("tenants.of.gateways", all, "tenants");
        figures.count("tenants.refused", costs.refused, "requests");
        figures.measured("tenant.held", all == 0 ? 0 : (double) (heap.held() - before) / all, "bytes");
    }

    private void meet(SimulatedGateway g, int place, int count, double gapMs) {
        if (place < count) {
            clock.after(gapMs, () -> {
                request(g, tenants.number(g.number, place));
                meet(g, place + 1, count, gapMs);
                progress.at(step + ", tenants met by a gateway", place, count);
            });
        }
    }

    private void requests() {
        begin("requests");
        double seconds = sizes.requests() / sizes.requestsPerS();
        load(sizes.requests());
        clock.pass(seconds * MS_PER_S + SETTLE_MS);
        double each = (seconds + SETTLE_MS / MS_PER_S) * sizes.gateways();
        figures.count("requests", costs.requests.count(), "requests");
        figures.count("requests.served", costs.served, "requests");
        figures.count("requests.refused", costs.refused, "requests");
        figures.count("requests.failed", costs.failed, "requests");
        figures.count("requests.sends", costs.sends, "attempts");
        figures.count("requests.hosts.met", met.size(), "hosts");
        figures.us("request.cpu.mean", costs.requests.meanNanos());
        figures.us("request.cpu.p50", costs.requests.nanosAt(50));
        figures.us("request.cpu.p99", costs.requests.nanosAt(99));
        figures.us("request.cpu.p99.9", costs.requests.nanosAt(99.9));
        figures.measured("request.allocated", costs.requests.meanBytes(), "bytes");
        figures.ms("load.second.cpu", costs.totalNanos() / each);
        figures.ms("load.longest.cpu", costs.longestNanos());
        figures.ms("load.longest.wall", costs.longestWallNanos());
        peers(each);
    }

    /** So many requests at each gateway, at the rate, each of one of its tenants. */
    private void load(int count) {
        double gapMs = MS_PER_S / sizes.requestsPerS();
        for (SimulatedGateway g : gateways) {
            if (tenants.of(g.number) > 0) {
                clock.after(random.nextDouble() * gapMs, () -> ask(g, 0, count, gapMs));
            }
        }
    }

    private void ask(SimulatedGateway g, int done, int count, double gapMs) {
        if (done < count) {
            request(g, tenants.number(g.number, random.nextInt(tenants.of(g.number))));
            clock.after(gapMs, () -> ask(g, done + 1, count, gapMs));
            progress.at(step + ", requests of a gateway", done, count);
        }
    }

    private void peers(double gatewaySeconds) {
        figures.count("peers.messages", costs.messages, "messages");
        figures.count("peers.bytes", costs.messageBytes, "bytes");
        figures.count("peers.messages.gateway.second", costs.messages / gatewaySeconds, "messages");
        figures.count("peers.bytes.gateway.second", costs.messageBytes / gatewaySeconds, "bytes");
        figures.count(
                "peers.messages.most.heard",
                costs.heard.values().stream().mapToInt(n -> n).max().orElse(0),
                "messages");
        figures.us("peers.message.cpu.mean", costs.messagesIn.meanNanos());
        figures.us("peers.message.cpu.p99", costs.messagesIn.nanosAt(99));
        figures.measured("peers.message.allocated", costs.messagesIn.meanBytes(), "bytes");
    }

    private void idle() {
        begin("idle");
        long gcBefore = HeapUsage.collectionMs();
        for (int s = 0; s < sizes.idleS(); s++) {
            clock.pass(MS_PER_S);
            progress.at(step + ", idle seconds", s, sizes.idleS());
        }
        double each = (double) sizes.idleS() * sizes.gateways();
        figures.count("idle.beats", costs.beats.count() / each, "beats a second");
        figures.ms("idle.second.cpu", costs.totalNanos() / each);
        figures.ms("idle.second.beats.cpu", costs.beats.totalNanos() / each);
        figures.ms("idle.second.figures.cpu", costs.reckonings.totalNanos() / each);
        figures.ms("idle.beat.p99.cpu", costs.beats.nanosAt(99));
        figures.measured("idle.second.allocated", costs.totalBytes() / each, "bytes");
        figures.measured("idle.second.collections", (HeapUsage.collectionMs() - gcBefore) / each, "ms");
        figures.ms("idle.longest.cpu", costs.longestNanos());
        figures.ms("idle.longest.wall", costs.longestWallNanos());
        figures.count("idle.messages", costs.messages / each, "messages a second");
    }

    /** Hosts drain and come back by turns, each change told alone. */
    private void changes() {
        begin("changes");
        long bytes = 0;
        for (int i = 0; i < sizes.changes(); i++) {
            Entry e = discovery.entries().get(random.nextInt(sizes.hosts()));
            discovery.change(e, e.state() == State.READY ? State.DRAINING : State.READY, 0);
            byte[] text = discovery.changes(List.of(e));
            bytes += text.length;
            tellAll(text);
            clock.pass(CHANGE_GAP_MS);
            progress.at(step + ", changes", i, sizes.changes());
        }
        figures.count("change.text", sizes.changes() == 0 ? 0 : (double) bytes / sizes.changes(), "bytes");
        figures.ms("change.cpu.mean", costs.lists.meanNanos());
        figures.ms("change.cpu.p99", costs.lists.nanosAt(99));
        figures.ms("change.longest.wall", costs.lists.longestWallNanos());
        figures.measured("change.allocated", costs.lists.meanBytes(), "bytes");
    }

    private void tellAll(byte[] text) {
        for (SimulatedGateway g : gateways) {
            g.tellHosts(costs.reading, costs.telling, costs.lists, clock.nowMs(), text);
        }
    }

    /** A zone's hosts fall silent while requests run, are told gone, and come back cold. */
    private void loss() {
        List<Entry> lost = discovery.entries().stream()
                .sorted((a, b) -> a.zone().compareTo(b.zone()))
                .limit(sizes.atOnce())
                .toList();
        if (lost.isEmpty()) {
            return;
        }
        int perEvent = (int) Math.min(sizes.requests(), EVENT_S * sizes.requestsPerS());
        begin("loss");
        load(perEvent);
        lost.forEach(e -> e.silent = true);
        clock.pass(SILENT_MS);
        lost.forEach(e -> discovery.change(e, State.GONE, 0));
        tellLarge("loss", lost);
        begin("return");
        lost.forEach(e -> e.silent = false);
        load(perEvent);
        lost.forEach(e -> discovery.change(e, State.READY, (long) clock.nowMs()));
        tellLarge("return", lost);
        figures.count("return.sends.cold", costs.sentCold, "attempts");
    }

    private void tellLarge(String name, List<Entry> changed) {
        byte[] text = discovery.changes(changed);
        tellAll(text);
        clock.pass(EVENT_S * MS_PER_S + DEADLINE_MS);
        figures.count(name + ".text", text.length, "bytes");
        figures.ms(name + ".told.cpu.mean", costs.lists.meanNanos());
        figures.ms(name + ".told.longest.wall", costs.lists.longestWallNanos());
        figures.measured(name + ".told.allocated", costs.lists.meanBytes(), "bytes");
        figures.count(name + ".served", costs.served, "requests");
        figures.count(name + ".refused", costs.refused, "requests");
        figures.count(name + ".failed", costs.failed, "requests");
        figures.count(name + ".sends", costs.sends, "attempts");
    }

    // ---- stand-ins

    private void request(SimulatedGateway g, int tenant) {
        double now = clock.nowMs();
        String id = "q" + serial++;
        Request r = new Request(
                id,
                now + DEADLINE_MS,
                now,
                false,
                FleetSettings.className(serial),
                Tenants.id(tenant),
                tenants.plan(tenant).name(),
                1,
                tenants.first(tenant),
                tenants.spread());
        Open o = new Open(g, tenant, now + DEADLINE_MS);
        open.put(id, o);
        g.tell(costs.arrivals, m -> m.requestReceived(now, r));
        spend(o);
        forgetIfOver(id, o);
    }

    private static void spend(Open o) {
        o.nanos += o.at.lastNanos();
        o.bytes += o.at.lastBytes();
    }

    private void forgetIfOver(String id, Open o) {
        if (o.closed && o.out == 0 && open.remove(id, o)) {
            costs.requests.add(o.nanos, o.bytes, 0);
        }
    }

    private void carryOut(
            SimulatedGateway g, RecordedActions.Kind kind, String name, String host, int number, double delayMs, byte[] message) {
        switch (kind) {
            case TIMER -> clock.after(delayMs, () -> g.tell(costs.beats, m -> m.timerFired(clock.nowMs(), name)));
            case SEND -> send(g, name, host);
            case CANCEL -> clock.after(0, () -> ended(g, name, number, null, Outcome.CANCELLED, 0));
            case REFUSE -> close(name, false);
            case FAIL -> close(name, true);
            case TELL -> carry(g, number, message);
            default -> throw new IllegalStateException("the settings allow no " + kind);
        }
    }

    private void close(String id, boolean failed) {
        Open o = open.get(id);
        if (o != null && !o.closed) {
            o.closed = true;
            costs.failed += failed ? 1 : 0;
            costs.refused += failed ? 0 : 1;
            clock.after(0, () -> forgetIfOver(id, o)); // once the event that decided it has been added
        }
    }

    private void carry(SimulatedGateway from, int to, byte[] message) {
        costs.messages++;
        costs.messageBytes += message.length;
        costs.heard.merge(to, 1, Integer::sum);
        SimulatedGateway g = byNumber.get(to);
        if (g != null) {
            clock.after(
                    WAY_MS,
                    () -> g.tell(costs.messagesIn, m -> m.peerMessageReceived(clock.nowMs(), from.number, message)));
        }
    }

    /** A host's answer comes after a time of its own; a silent one lets a connect end in vain. */
    private void send(SimulatedGateway g, String id, String host) {
        Open o = open.get(id);
        Entry e = discovery.entry(host);
        double sentAt = clock.nowMs();
        int attempt = o.attempts++;
        o.out++;
        costs.sends++;
        met.add(host);
        if (attempt >= FleetSettings.MAX_ATTEMPTS || o.closed) {
            throw new IllegalStateException("an attempt that the settings do not allow");
        }
        if (e.silent) {
            clock.after(
                    FleetSettings.CONNECT_TIMEOUT_MS,
                    () -> ended(g, id, attempt, host, Outcome.CONNECT_FAILED, clock.nowMs() - sentAt));
            return;
        }
        costs.sentCold += e.startedMs() > 0 ? 1 : 0;
        e.inWork++;
        tenants.uses(o.tenant, 1, sentAt);
        clock.after(ANSWER_MS * (0.5 - 0.5 * Math.log(1 - random.nextDouble())), () -> {
            e.inWork--;
            if (e.silent) { // vanished with its work: nothing comes before the request's time is up
                clock.after(
                        o.deadlineMs - clock.nowMs(),
                        () -> ended(g, id, attempt, host, Outcome.TIMEOUT, clock.nowMs() - sentAt));
            } else {
                ended(g, id, attempt, host, Outcome.OK, clock.nowMs() - sentAt);
            }
        });
    }

    private void ended(SimulatedGateway g, String id, int attempt, String host, Outcome outcome, double tookMs) {
        Open o = open.get(id);
        if (o == null || o.ended[attempt]) {
            return;
        }
        o.ended[attempt] = true;
        o.out--;
        if (outcome == Outcome.OK && !o.closed) {
            o.closed = true;
            costs.served++;
        }
        boolean answered = outcome == Outcome.OK;
        double[] report = answered ? report(discovery.entry(host)) : new double[0];
        int used = answered ? tenants.usedPct(o.tenant, clock.nowMs()) : 0;
        AttemptResult result = new AttemptResult(id, attempt, host, outcome, tookMs, o.closed, used, 0, report);
        g.tell(costs.answers, m -> m.attemptEnded(clock.nowMs(), result));
        spend(o);
        forgetIfOver(id, o);
    }

    private static double[] report(Entry e) {
        return new double[] {e.inWork, Math.max(0, e.inWork - CORES), Math.min(1, (double) e.inWork / CORES)};
    }
}
