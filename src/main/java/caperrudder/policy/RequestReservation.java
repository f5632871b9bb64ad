package caperrudder.policy;

import caperrudder.policy.quota.CustomerQuota;
import caperrudder.policy.retry.RetryBudget;

/**
 * What one request takes of its customer's quota and of the retry budget. Each part is taken once and given back at
 * most once, in whatever order the admission decision, the deadline, the client's disconnection and the ends of the
 * attempts arrive: a request that was released takes nothing any more. The slots of its attempts are those of
 * {@link OutstandingAttempts}. Confined to the policy's thread.
 */
final class RequestReservation {
    private final CustomerQuota quota;
    private final double units;
    private State state = State.NONE;
    private RetryBudget retryBudget; // from which a token is held for a retry that waits; null if none is

    private enum State {
        /** The request was not admitted. */
        NONE,
        /** The request counts as open, and its units are charged. */
        RESERVED,
        /** As before, and its first attempt was sent. */
        SENT,
        /** Everything that was to be given back has been. */
        RELEASED
    }

    /** @param quota the customer's quota; null if there is none to charge */
    RequestReservation(CustomerQuota quota, double units) {
        this.quota = quota;
        this.units = units;
    }

    /**
     * Charges the request to its quota.
     *
     * @param expectedMs time in milliseconds that the request is expected to be open
     * @return false if the request was admitted or released before, so that nothing is charged
     */
    boolean reserve(double now, double expectedMs) {
        if (state != State.NONE) return false;
        state = State.RESERVED;
        if (quota != null) quota.requestAdmitted(now, units, expectedMs);
        return true;
    }

    /** Records that the first attempt was sent; later calls do nothing. */
    void markSent() {
        if (state != State.RESERVED) return;
        state = State.SENT;
        if (quota != null) quota.requestSent(units);
    }

    /** Takes a token for a retry. {@link RetryBudget#hasToken()} must have returned true. */
    void takeRetryToken(RetryBudget budget) {
        budget.spend();
        retryBudget = budget;
    }

    /** Records that the retry for which a token is held was sent; the token is used up then. */
    void useRetryToken() {
        retryBudget = null;
    }

    /**
     * Gives back what the request holds; later calls do nothing.
     *
     * @param sentCompletely whether a host may have received the whole request, so that its units stay charged
     */
    void release(boolean sentCompletely) {
        State before = state;
        state = State.RELEASED;
        if (retryBudget != null) retryBudget.refund();
        retryBudget = null;
        if (quota == null || before == State.NONE || before == State.RELEASED) return;
        quota.requestClosed();
        if (!sentCompletely) quota.refund(units, before == State.SENT);
    }
}
