package caperrudder.policy;

import caperrudder.api.Request;
import caperrudder.policy.gossip.PendingDecision;
import caperrudder.policy.loadbalancing.Endpoint;
import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.quota.QuotaRequest;
import caperrudder.policy.scheduling.Schedulable;
import caperrudder.policy.scheduling.TrafficClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival until it is closed and all of its attempts have ended. It is closed once its client has
 * its answer or has disconnected. Times are milliseconds of the policy's clock. Confined to the policy's thread.
 */
final class PendingRequest implements Schedulable, QuotaRequest {
    private static final int TYPICAL_ATTEMPTS = 2;

    private final Request request;
    private final TrafficClass trafficClass;
    private final CustomerQuota quota;
    private final RequestReservation reservation;
    private final List<Attempt> attempts = new ArrayList<>(TYPICAL_ATTEMPTS);
    private double arrivedAt;
    private double deadline;
    private boolean bodyPending;
    private boolean replayable = true;
    private boolean admitted;
    private boolean responding;
    private boolean closed;
    private PendingDecision pendingDecision; // null if no owner of the quota was asked

    /** @param quota the customer's quota; null if the settings do not define its plan or the quota table is full */
    PendingRequest(Request request, TrafficClass trafficClass, CustomerQuota quota) {
        this.request = request;
        this.trafficClass = trafficClass;
        this.quota = quota;
        this.reservation = new RequestReservation(quota, request.units());
        this.arrivedAt = request.arrivedAtMs();
        this.deadline = request.deadlineAtMs();
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
        return trafficClass.latencyEstimate().expectedMs(request.units());
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
        double inTimeShare = trafficClass.shareWithinObjective(expectedWorkMs());
        return inTimeShare + (1 - inTimeShare) * trafficClass.requestClass().lateValueShare();
    }

    /** Returns the quota of the customer; null if the settings do not define its plan or the quota table is full. */
    CustomerQuota quota() {
        return quota;
    }

    /** Returns what the request holds of its quota and of the retry budget. */
    RequestReservation reservation() {
        return reservation;
    }

    /** Returns the decision that is pending at an owner of the quota, or null if no owner was asked. */
    PendingDecision pendingDecision() {
        return pendingDecision;
    }

    /** Records the decision that is pending at an owner of the quota. */
    void setPendingDecision(PendingDecision decision) {
        pendingDecision = decision;
    }

    /** Returns the time since which the client has been waiting: the arrival, or the later end of the body. */
    double arrivedAt() {
        return arrivedAt;
    }

    double deadline() {
        return deadline;
    }

    /** Whether the end of the body has not arrived yet. */
    boolean isBodyPending() {
        return bodyPending;
    }

    /** Records that the end of the body has arrived. The client's waiting time starts now. */
    void markBodyComplete(double now, double newDeadline) {
        bodyPending = false;
        arrivedAt = now;
        deadline = newDeadline;
    }

    /** Whether the request can be sent again; false once a part of its body was sent without being buffered. */
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

    /** Whether the first bytes of a response have been sent to the client. */
    boolean isResponding() {
        return responding;
    }

    void markResponding() {
        responding = true;
    }

    /** Whether the client has its answer or has disconnected. */
    boolean isClosed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    /** Returns the attempts in the order in which they were sent. Callers must not change the list. */
    List<Attempt> attempts() {
        return attempts;
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Returns the attempt of this number, or null if there is none. */
    Attempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    /** Adds an attempt at this endpoint, whose first byte is sent at {@code now}. */
    Attempt addAttempt(Endpoint endpoint, double now) {
        Attempt attempt = new Attempt(this, attempts.size(), endpoint, now);
        attempts.add(attempt);
        return attempt;
    }

    /** Returns the endpoints of all attempts in order, once for each attempt. */
    List<Endpoint> attemptedEndpoints() {
        if (attempts.isEmpty()) return List.of();
        List<Endpoint> endpoints = new ArrayList<>(attempts.size());
        for (Attempt attempt : attempts) {
            endpoints.add(attempt.endpoint());
        }
        return endpoints;
    }

    /** Returns the first attempt that its endpoint may have run, or null if there is none. */
    Attempt firstAttemptThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) return attempt;
        }
        return null;
    }

    /** Whether a host may have run the request. */
    boolean mayHaveRun() {
        return firstAttemptThatMayHaveRun() != null;
    }

    /** Whether a host may have received the complete request. */
    boolean mayHaveBeenDelivered() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveBeenDelivered()) return true;
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
