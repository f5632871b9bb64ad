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
 * Chooses the endpoint of each attempt by the endpoint list and the results of this gateway's own attempts. All times
 * are in milliseconds of the clock of the policy's events. Not thread-safe: only the policy's thread may use it.
 */
public final class LoadBalancer {
    private static final double REFRESH_INTERVAL_MS = 500;

    /** A change of fewer hosts than usable endpoints / this divisor does not recompute the capacity. */
    private static final int SMALL_CHANGE_DIVISOR = 1024;

    private static final double OVERDUE_LATENCY_MULTIPLE = 5;
    private static final double OVERDUE_MARGIN_MS = 400;

    private final EndpointTable table;
    private final EndpointSubset subset;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private final OutlierDetector outliers;
    private final EndpointPicker picker;
    private final Random random;
    private double refreshedAtMs;
    private double missingCapacity; // of endpoints in slow start and ejected ones, at the last refresh

    /** {@code random} is shared by the whole policy, so that a seed always gives the same sequence of decisions. */
    public LoadBalancer(double now, Settings settings, Random random) {
        this.random = random;
        int gatewayCount = Math.max(1, settings.gatewayCount());
        table = new EndpointTable(EndpointSubset.orderFor(gatewayCount));
        subset = new EndpointSubset(table, settings.gatewayIndex(), gatewayCount);
        slowStart = new SlowStart(settings.rules());
        loadReports = new LoadReports(settings.loadReportFields(), slowStart);
        outliers = new OutlierDetector(settings.classes());
        picker = new EndpointPicker(table, subset, slowStart, loadReports, settings.zone(), random);
        refreshedAtMs = now;
    }

    // ---- endpoints

    /**
     * Applies an endpoint list or a watch event (PROTOCOL, Discovery).
     *
     * @param kind whether {@code hosts} are changes or the full list; must not be {@link HostListKind#FAILED}
     */
    public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {
        boolean changesOnly = kind == HostListKind.CHANGES;
        if (!changesOnly) table.beginFullList();
        for (Host host : hosts) update(now, host);
        if (!changesOnly) table.endFullList();
        // After a small change, the missing capacity may stay inexact until the next refresh.
        if (changesOnly && hosts.size() < table.usableCount() / SMALL_CHANGE_DIVISOR) refreshSubset(now);
        else refresh(now);
    }

    private void update(double now, Host host) {
        Endpoint endpoint = table.addOrUpdate(host);
        if (host.startedAtMs() <= 0 || host.startedAtMs() <= endpoint.startedAtMs()) return;
        double initialCredit = random.nextDouble(); // spreads the gateways' first requests over time
        endpoint.recordRestart(host.startedAtMs(), initialCredit);
        if (slowStart.isWarmingUp(endpoint, now)) outliers.startObserving(endpoint);
        subset.recordEndpointStart(endpoint);
    }

    /** Recomputes the capacity and the subset if the refresh interval has passed. Must be called on each tick. */
    public void refreshIfDue(double now) {
        if (now - refreshedAtMs >= REFRESH_INTERVAL_MS) refresh(now);
    }

    private void refresh(double now) {
        refreshedAtMs = now;
        outliers.stopObservingIf(endpoint -> endpoint.hasNoObservations() && !slowStart.isWarmingUp(endpoint, now));
        missingCapacity = outliers.missingCapacity(now, slowStart);
        refreshSubset(now);
    }

    private void refreshSubset(double now) {
        subset.refresh(refreshedAtMs == now);
    }

    /** Removes the endpoints that are no longer listed and have no outstanding attempts. */
    public void removeUnlisted() {
        table.removeUnlisted(outliers::stopObserving);
    }

    /** Returns the capacity of all usable endpoints together, as a number of warm healthy endpoints. */
    public double healthyCapacity() {
        return table.usableCount() - missingCapacity;
    }

    /** Returns the number of listed endpoints, and how many of them are draining or ejected. */
    public ClusterHealth clusterHealth(double now) {
        return new ClusterHealth(table.listedCount(), table.unusableCount() + outliers.ejectedCount(now));
    }

    // ---- attempts

    /** Returns the endpoint for a request's next attempt, or null if none can be used now. */
    public Endpoint pickEndpoint(double now, PlacementRequest request) {
        return picker.pick(now, request);
    }

    /** Records that an attempt is sent to an endpoint, which works on it from {@link #attemptStarted} on. */
    public void attemptSent(Endpoint endpoint) {
        outliers.startObserving(endpoint);
    }

    /** Records that an endpoint has received the whole request of an attempt and works on it. */
    public void attemptStarted(Endpoint endpoint, double expectedWorkMs) {
        picker.recordAttemptStart(endpoint, expectedWorkMs);
    }

    /**
     * Records that a started attempt has ended or its response has begun.
     *
     * @param expectedWorkMs must be that of {@link #attemptStarted}
     */
    public void attemptFinished(Endpoint endpoint, double expectedWorkMs) {
        picker.recordAttemptEnd(endpoint, expectedWorkMs);
    }

    /** Updates the scores and reported load of an endpoint with the result of an attempt. */
    public void recordResult(
            double now, Endpoint endpoint, RequestClass requestClass, double expectedWorkMs, AttemptResult result) {
        outliers.recordResult(now, endpoint, requestClass, expectedWorkMs, result);
        loadReports.record(now, endpoint, result.loadReport());
    }

    /** Returns whether an attempt that has been working for {@code elapsedMs} should have ended by now. */
    public boolean isOverdue(double now, Endpoint endpoint, double expectedWorkMs, double elapsedMs) {
        double expectedMs = expectedWorkMs * Math.max(1, endpoint.latencyPenalty(now));
        return elapsedMs > OVERDUE_LATENCY_MULTIPLE * expectedMs + OVERDUE_MARGIN_MS;
    }

    /** Updates the scores of an endpoint for an overdue attempt. Must be called once for each such attempt. */
    public void recordOverdue(double now, Endpoint endpoint, RequestClass requestClass) {
        outliers.recordOverdue(now, endpoint, requestClass);
    }

    // ---- snapshot

    /** Returns the scores of the listed endpoints under observation, for the successor. */
    public List<HealthSnapshot> takeSnapshot() {
        return outliers.takeSnapshot();
    }

    /** Restores the scores that the predecessor had. Ignores those of unknown hosts and classes. */
    public void restoreSnapshot(double now, List<HealthSnapshot> snapshots) {
        outliers.restore(now, snapshots, table);
    }

    // ---- for the tests of this package

    EndpointTable table() {
        return table;
    }

    List<Endpoint> subset() {
        return subset.endpoints();
    }
}
