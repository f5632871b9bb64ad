package caperrudder.policy;

import caperrudder.api.Request;
import caperrudder.policy.gossip.OwnerRequest;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaRequest;
import caperrudder.policy.scheduling.Schedulable;
import caperrudder.policy.scheduling.TrafficClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival until it is closed and all of its attempts have ended. It is closed once nothing more is
 * due to its client. Times are milliseconds of the policy's clock. Confined to the policy's thread.
 */
final class PendingRequest implements Schedulable, QuotaRequest {
    private static final int USUAL_ATTEMPTS = 2;

    private final Request request;
    private final TrafficClass trafficClass;
    private final CustomerQuota quota;
    private final List<Attempt> attempts = new ArrayList<>(USUAL_ATTEMPTS);
    private double arrivedAt;
    private double deadline;
    private boolean bodyPending;
    private boolean replayable = true;
    private boolean admitted;
    private boolean responding;
    private boolean closed;
    private OwnerRequest ownerRequest; // null where no owner of the quota was asked

    /** {@code quota}: of the customer, or null where the settings do not name its plan. */
    PendingRequest(Request request, TrafficClass trafficClass, CustomerQuota quota) {
        this.request = request;
        this.trafficClass = trafficClass;
        this.quota = quota;
        this.arrivedAt = request.arrivedMs();
        this.deadline = request.deadlineMs();
        this.bodyPending = request.bodyPending();
    }

    String id() {
        return request.id();
    }

    Request request() {
        return request;
    }

    @Override
    public TrafficClass trafficClass() {
        return trafficClass;
    }

    @Override
    public double expectedWorkMs() {
        return trafficClass.latency().expectedMs(request.units());
    }

    @Override
    public double units() {
        return request.units();
    }

    @Override
    public boolean isClientRetry() {
        return request.clientRetry();
    }

    @Override
    public double expectedValueShare() {
        double inTime = trafficClass.shareWithinObjective(expectedWorkMs());
        return inTime + (1 - inTime) * trafficClass.spec().lateValue();
    }

    /** The quota of its customer, or null where the settings do not name its plan. */
    CustomerQuota quota() {
        return quota;
    }

    /** What the decision of the quota's owner on it is awaited by, or null where no owner was asked. */
    OwnerRequest ownerRequest() {
        return ownerRequest;
    }

    /** The quota's owner decides on it. */
    void awaitOwner(OwnerRequest asked) {
        ownerRequest = asked;
    }

    /** Since when its client waits: its arrival, or the end of its body where that came later. */
    double arrivedAt() {
        return arrivedAt;
    }

    double deadline() {
        return deadline;
    }

    /** Whether the end of its body is still to come. */
    boolean isBodyPending() {
        return bodyPending;
    }

    /** The end of its body has come: its client waits from now on. */
    void complete(double now, double newDeadline) {
        bodyPending = false;
        arrivedAt = now;
        deadline = newDeadline;
    }

    /** Whether it can be sent again; false once a part of its body has left and is kept nowhere. */
    boolean isReplayable() {
        return replayable;
    }

    void markNotReplayable() {
        replayable = false;
    }

    boolean isAdmitted() {
        return admitted;
    }

    void markAdmitted() {
        admitted = true;
    }

    /** Whether the first bytes of a response have gone to its client. */
    boolean isResponding() {
        return responding;
    }

    void markResponding() {
        responding = true;
    }

    /** Whether nothing more is due to its client. */
    boolean isClosed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    /** In the order in which they were sent; not to be changed. */
    List<Attempt> attempts() {
        return attempts;
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** The attempt of this number, or null where there is none. */
    Attempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    /** Adds the next attempt. */
    Attempt addAttempt(Endpoint endpoint, double now) {
        Attempt attempt = new Attempt(this, attempts.size(), endpoint, now);
        attempts.add(attempt);
        return attempt;
    }

    /** The endpoints of all attempts in their order; one that had several stands there as often. */
    List<Endpoint> attemptedEndpoints() {
        if (attempts.isEmpty()) return List.of();
        List<Endpoint> endpoints = new ArrayList<>(attempts.size());
        for (Attempt attempt : attempts) {
            endpoints.add(attempt.endpoint());
        }
        return endpoints;
    }

    /** The first attempt not known never to have run, or null. */
    Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) return attempt;
        }
        return null;
    }

    /** Whether a host may have run it. */
    boolean mayHaveRun() {
        return firstThatMayHaveRun() != null;
    }

    /** Whether an attempt may have come whole to a host. */
    boolean mayHaveArrivedAtHost() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveArrived()) return true;
        }
        return false;
    }

    boolean hasOpenAttempt() {
        for (Attempt attempt : attempts) {
            if (attempt.isOpen()) return true;
        }
        return false;
    }
}
