package caperrudder.policy.loadbalancing;

import caperrudder.api.HealthSnapshot;
import caperrudder.api.Host;
import caperrudder.api.HostState;
import java.util.List;

/**
 * A host as this gateway sees it: what the endpoint list says, and what this gateway's own attempts have shown. Of one
 * that it has sent nothing to it holds little but the list's entry, since there may be 160,000 of them. Outside of this
 * package it is a handle: an endpoint stays the same object as long as it is listed or has outstanding attempts.
 */
public final class Endpoint {
    private static final double LONG_AGO = Double.NEGATIVE_INFINITY;

    private Host host;
    private boolean listed;
    private boolean indexed; // stands among the usable endpoints of the table
    private int outstandingAttempts;
    private double outstandingWorkMs;
    private double startedAtMs = LONG_AGO;
    private double slowStartCredit; // saved up while it warms up; 1 is worth a request
    private boolean reportsLoad;
    private double reportedLoad; // requests held for all gateways, by its last report
    private EndpointScores scores; // null until an attempt has scored it

    Endpoint(Host host) {
        this.host = host;
    }

    /** The host by the latest endpoint list or watch event. */
    public Host host() {
        return host;
    }

    /** The host's id, by which actions name it. */
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

    /** Whether an attempt may go there. */
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

    void startAttempt(double expectedWorkMs) {
        outstandingAttempts++;
        outstandingWorkMs += expectedWorkMs;
    }

    /** Exactly no work is left once no attempt is: rounding errors do not add up. */
    void finishAttempt(double expectedWorkMs) {
        outstandingAttempts--;
        outstandingWorkMs = outstandingAttempts == 0 ? 0 : outstandingWorkMs - expectedWorkMs;
    }

    boolean isIdle() {
        return outstandingAttempts == 0;
    }

    /** Expected time of the outstanding attempts together, in ms. */
    double outstandingWorkMs() {
        return outstandingWorkMs;
    }

    // ---- slow start

    /** When the host last started, in ms; negative infinity where that is not known or long ago. */
    double startedAtMs() {
        return startedAtMs;
    }

    /** Takes in a later start: what was observed of the host before no longer counts. */
    void restarted(double atMs, double initialCredit) {
        startedAtMs = atMs;
        slowStartCredit = initialCredit;
        if (scores != null) scores.clearOverallPenalty();
    }

    double slowStartCredit() {
        return slowStartCredit;
    }

    void setSlowStartCredit(double credit) {
        slowStartCredit = credit;
    }

    // ---- load reports

    boolean hasReportedLoad() {
        return reportsLoad;
    }

    /** Requests that the host held for all gateways when it last reported; 0 before its first report. */
    double reportedLoad() {
        return reportedLoad;
    }

    void setReportedLoad(double requests) {
        reportedLoad = requests;
        reportsLoad = true;
    }

    // ---- outlier scores

    /** The scores, created where there are none yet; the caller goes on to create the entry that it needs. */
    EndpointScores scores() {
        if (scores == null) scores = new EndpointScores();
        return scores;
    }

    /** How many times slower than usual it is over all request classes: 1 is as usual, 12 the slowest believed. */
    public double latencyPenalty(double now) {
        return scores == null ? 1 : scores.latencyPenalty(now);
    }

    /** The same for a class: the penalty over all classes times that of the class. */
    double latencyPenalty(double now, String requestClass) {
        return scores == null ? 1 : scores.latencyPenalty(now, requestClass);
    }

    /** Whether nothing is known of the host beside its entry in the list. */
    boolean isUntried() {
        return scores == null && outstandingAttempts == 0;
    }

    void takeSnapshot(List<HealthSnapshot> snapshots) {
        if (scores != null) scores.takeSnapshot(host.id(), snapshots);
    }
}
