package caperrudder.policy.loadbalancing;

import caperrudder.api.AttemptResult;
import caperrudder.api.ClusterHealth;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.Host;
import caperrudder.api.HostListKind;
import caperrudder.api.RequestClass;
import caperrudder.api.Settings;
import java.util.List;
import java.util.Random;

/**
 * Chooses the endpoint of each attempt, from what the endpoint list says and what this gateway's attempts have shown.
 * All times are milliseconds of the clock of the policy's events. For the thread that runs the policy alone.
 */
public final class LoadBalancer {
    private static final double REFRESH_MS = 500; // how often capacity is counted and the subset chosen anew
    private static final int SMALL_CHANGE = 1024; // usable endpoints for each changed one: capacity need not be counted
    private static final double OVERDUE_MULTIPLE = 5; // an attempt is overdue after so many times its expected time
    private static final double OVERDUE_MIN_MS = 400; // and so much more

    private final EndpointTable table;
    private final EndpointSubset subset;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private final OutlierDetector outliers;
    private final EndpointPicker picker;
    private final Random random;
    private double refreshedAt;
    private double missingCapacity; // that endpoints in slow start and ejected ones lack, as last counted

    /** {@code random} is shared with the whole policy, so that one seed gives one sequence of decisions. */
    public LoadBalancer(double now, Settings settings, Random random) {
        this.random = random;
        int gatewayCount = Math.max(1, settings.gatewayCount());
        table = new EndpointTable(EndpointSubset.orderFor(gatewayCount));
        subset = new EndpointSubset(table, settings.gatewayIndex(), gatewayCount);
        slowStart = new SlowStart(settings.rules());
        loadReports = new LoadReports(settings.loadReportFields(), slowStart);
        outliers = new OutlierDetector(settings.classes());
        picker = new EndpointPicker(table, subset, slowStart, loadReports, settings.zone(), random);
        refreshedAt = now;
    }

    // ---- endpoints

    /**
     * Takes in an endpoint list or a watch event (PROTOCOL, Discovery).
     *
     * @param kind changes, or a list of all hosts; a failed call is not for this method
     */
    public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {
        boolean changesOnly = kind == HostListKind.CHANGES;
        if (!changesOnly) table.beginFullList();
        for (Host host : hosts) update(now, host);
        if (!changesOnly) table.endFullList();
        // In a large cluster a few endpoints more or less in slow start may wait for the next refresh.
        if (changesOnly && hosts.size() < table.usableCount() / SMALL_CHANGE) refreshSubset(now);
        else refresh(now);
    }

    private void update(double now, Host host) {
        Endpoint endpoint = table.put(host);
        if (host.startedMs() <= 0 || host.startedMs() <= endpoint.startedAtMs()) return;
        double initialCredit = random.nextDouble(); // or all gateways' first requests would come together
        endpoint.restarted(host.startedMs(), initialCredit);
        if (slowStart.isWarmingUp(endpoint, now)) outliers.observe(endpoint);
        subset.noteStarted(endpoint);
    }

    /** To be called on each tick. */
    public void refreshIfDue(double now) {
        if (now - refreshedAt >= REFRESH_MS) refresh(now);
    }

    private void refresh(double now) {
        refreshedAt = now;
        outliers.forgetIf(endpoint -> endpoint.isUntried() && !slowStart.isWarmingUp(endpoint, now));
        missingCapacity = outliers.missingCapacity(now, slowStart);
        refreshSubset(now);
    }

    private void refreshSubset(double now) {
        subset.refresh(refreshedAt == now);
    }

    /** Forgets the endpoints that are no longer listed and have no outstanding attempt. */
    public void removeUnlisted() {
        table.removeUnlisted(outliers::forget);
    }

    /** What all usable endpoints can do together, in warm healthy endpoints. */
    public double capacity() {
        return table.usableCount() - missingCapacity;
    }

    /** The listed endpoints, and how many of them this gateway avoids, by the list or by its own observation. */
    public ClusterHealth clusterHealth(double now) {
        return new ClusterHealth(table.listedCount(), table.unusableCount() + outliers.ejectedCount(now));
    }

    // ---- attempts

    /**
     * The endpoint for a request's next attempt; null where none may be used now. Takes the same number of draws from
     * the random sequence whether an attempt is harmless or not.
     */
    public Endpoint pick(double now, PlacementRequest request) {
        return picker.pick(now, request);
    }

    /** An attempt is sent to an endpoint; it works there from {@link #attemptStarted} on. */
    public void attemptSent(Endpoint endpoint) {
        outliers.observe(endpoint);
    }

    /** An attempt, complete with its request, begins to work. */
    public void attemptStarted(Endpoint endpoint, double expectedWorkMs) {
        picker.startAttempt(endpoint, expectedWorkMs);
    }

    /** An attempt that was started has ended or has begun to respond; {@code expectedWorkMs} is that of its start. */
    public void attemptFinished(Endpoint endpoint, double expectedWorkMs) {
        picker.finishAttempt(endpoint, expectedWorkMs);
    }

    /** Learns from how an attempt ended and from the load report that came with it. */
    public void recordResult(
            double now, Endpoint endpoint, RequestClass requestClass, double expectedWorkMs, AttemptResult result) {
        outliers.recordResult(now, endpoint, requestClass, expectedWorkMs, result);
        loadReports.record(now, endpoint, result.loadReport());
    }

    /** Whether an attempt that has been working so long, in ms, should have ended by now. */
    public boolean isOverdue(double now, Endpoint endpoint, double expectedWorkMs, double elapsedMs) {
        double expectedMs = expectedWorkMs * Math.max(1, endpoint.latencyPenalty(now));
        return elapsedMs > OVERDUE_MULTIPLE * expectedMs + OVERDUE_MIN_MS;
    }

    /** Learns that an attempt is overdue; to be called once for each. */
    public void recordOverdue(double now, Endpoint endpoint, RequestClass requestClass) {
        outliers.recordOverdue(now, endpoint, requestClass);
    }

    // ---- snapshot

    /** The scores of the listed endpoints under observation, for the process that follows. */
    public List<HealthSnapshot> takeSnapshot() {
        return outliers.takeSnapshot();
    }

    /** Takes over scores; those of hosts and classes that are not known here are passed over. */
    public void restore(double now, List<HealthSnapshot> snapshots) {
        outliers.restore(now, snapshots, table);
    }

    // ---- for tests of this package

    EndpointTable table() {
        return table;
    }

    List<Endpoint> subset() {
        return subset.endpoints();
    }
}
