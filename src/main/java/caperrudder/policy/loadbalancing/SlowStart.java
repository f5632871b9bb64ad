package caperrudder.policy.loadbalancing;

import caperrudder.api.Rules;

/**
 * Slow start: a host that has just started can do less, and more with time. It falls over where all gateways together
 * send it more than {@link Rules#overloadMultiple()} times that (WIRE, rule 4), so each sends it its share only.
 */
final class SlowStart {
    private static final double SAFETY = 0.7; // of the allowance that is used: bursts fit in the rest
    private static final double MIN_CAPACITY = 0.01; // so that no score is divided by nothing

    private final double coldStartCapacity;
    private final double slowStartMs;
    private final double overloadMultiple;

    SlowStart(Rules rules) {
        coldStartCapacity = rules.coldStartCapacity();
        slowStartMs = Math.max(1, rules.slowStartMs());
        overloadMultiple = rules.overloadMultiple();
    }

    /** The share of its full capacity that an endpoint has now, by its start alone: above 0, at most 1. */
    double capacity(Endpoint endpoint, double now) {
        double elapsed = (now - endpoint.startedAtMs()) / slowStartMs;
        return elapsed >= 1
                ? 1
                : Math.max(MIN_CAPACITY, coldStartCapacity + (1 - coldStartCapacity) * Math.max(0, elapsed));
    }

    boolean isWarmingUp(Endpoint endpoint, double now) {
        return capacity(endpoint, now) < 1;
    }

    /** What may go to an endpoint as a share of what a warm one gets; over 1 where it is nearly warm. */
    double allowedShare(Endpoint endpoint, double now) {
        return SAFETY * overloadMultiple * capacity(endpoint, now);
    }

    /**
     * Credits an endpoint with its share of one request, and takes the price of one where there is credit for it. It
     * saves up for each request instead of being drawn for it: the sum of many gateways' chances soon exceeds the
     * few requests that it bears.
     */
    boolean earnsRequest(Endpoint endpoint, double now) {
        double credit = endpoint.slowStartCredit() + Math.min(1, allowedShare(endpoint, now));
        boolean earned = credit >= 1;
        endpoint.setSlowStartCredit(earned ? credit - 1 : credit);
        return earned;
    }

    /** Takes the price of a request that an endpoint gets without having earned it, since there is no other. */
    void chargeRequest(Endpoint endpoint) {
        endpoint.setSlowStartCredit(Math.max(-1, endpoint.slowStartCredit() - 1));
    }
}
