package caperrudder.policy.loadbalancing;

import caperrudder.api.HealthSnapshot;
import caperrudder.api.Host;
import caperrudder.api.HostState;
import java.util.List;

/**
 * A host as this gateway sees it: its entry in the endpoint list, and the results of this gateway's own attempts. There
 * may be 160,000 endpoints, so one that has received no attempt holds little more than its entry. Other packages use it
 * as a handle: a host has the same endpoint object as long as it is listed or has outstanding attempts.
 */
public final class Endpoint {
    private static final double NO_RECENT_START_MS = Double.NEGATIVE_INFINITY;

    private Host host;
    private boolean listed;
    private boolean indexed; // whether the table's indexes of usable endpoints contain it
    private int outstandingAttempts;
    private double outstandingWorkMs;
    private double startedAtMs = NO_RECENT_START_MS;
    private double slowStartCredit; // earned in slow start; a request costs 1
    private boolean hasReportedLoad;
    private double reportedLoad; // requests in flight at the host, from all gateways
    private EndpointScores scores; // null until the first score is recorded or restored

    Endpoint(Host host) {
        this.host = host;
    }

    /** Returns the host as given by the latest endpoint list or watch event. */
    public Host host() {
        return host;
    }

    /** Returns the host's id, which names it in the policy's actions. */
    public String id() {
        return host.id();
    }

    void updateHost(Host latest) {
        host = latest;
    }

    boolean isListed() {
        return listed;
    }

    void setListed(boolean listed) {
        this.listed = listed;
    }

    /** Returns whether attempts may be sent to the endpoint: it is listed and its host is running. */
    boolean isUsable() {
        return listed && host.state() == HostState.RUNNING;
    }

    boolean isIndexed() {
        return indexed;
    }

    void setIndexed(boolean indexed) {
        this.indexed = indexed;
    }

    // ---- outstanding work of this gateway

    void recordAttemptStart(double expectedWorkMs) {
        outstandingAttempts++;
        outstandingWorkMs += expectedWorkMs;
    }

    /**
     * Subtracts the expected work of an attempt that was started. Resets the sum to exactly 0 after the last
     * outstanding attempt, so that rounding errors do not accumulate.
     */
    void recordAttemptEnd(double expectedWorkMs) {
        outstandingAttempts--;
        outstandingWorkMs = outstandingAttempts == 0 ? 0 : outstandingWorkMs - expectedWorkMs;
    }

    boolean isIdle() {
        return outstandingAttempts == 0;
    }

    /** Returns the sum of the expected times of the outstanding attempts, in ms. */
    double outstandingWorkMs() {
        return outstandingWorkMs;
    }

    // ---- slow start

    /** Returns when the host last started, in ms; negative infinity if that is unknown or long ago. */
    double startedAtMs() {
        return startedAtMs;
    }

    /** Records a later start of the host, and clears the overall penalty that was observed before it. */
    void recordRestart(double atMs, double initialCredit) {
        startedAtMs = atMs;
        slowStartCredit = initialCredit;
        if (scores != null) scores.clearOverallPenalty();
    }

    /** Returns the credit earned in slow start, at least -1; a request costs 1. */
    double slowStartCredit() {
        return slowStartCredit;
    }

    void setSlowStartCredit(double credit) {
        slowStartCredit = credit;
    }

    // ---- load reports

    boolean hasReportedLoad() {
        return hasReportedLoad;
    }

    /** Returns the requests in flight at the host, from all gateways, by its last report; 0 before the first one. */
    double reportedLoad() {
        return reportedLoad;
    }

    void setReportedLoad(double requests) {
        reportedLoad = requests;
        hasReportedLoad = true;
    }

    // ---- outlier scores

    /** Returns the scores. Creates them if there are none, so the caller must go on to record or restore one. */
    EndpointScores scores() {
        if (scores == null) scores = new EndpointScores();
        return scores;
    }

    /**
     * Returns the ratio of the endpoint's actual to its expected latency over all request classes, from 0 to 12; 1 if
     * there are no observations.
     */
    public double latencyPenalty(double now) {
        return scores == null ? 1 : scores.latencyPenalty(now);
    }

    /** Returns the penalty for a request class: the penalty over all classes times that of the class. */
    double latencyPenalty(double now, String requestClass) {
        return scores == null ? 1 : scores.latencyPenalty(now, requestClass);
    }

    /** Returns whether the endpoint has neither scores nor outstanding attempts. */
    boolean hasNoObservations() {
        return scores == null && outstandingAttempts == 0;
    }

    /** Appends the endpoint's scores, if it has any, to {@code snapshots}. */
    void appendSnapshots(List<HealthSnapshot> snapshots) {
        if (scores != null) scores.appendSnapshots(host.id(), snapshots);
    }
}
