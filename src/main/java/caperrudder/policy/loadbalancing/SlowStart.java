package caperrudder.policy.loadbalancing;

import caperrudder.api.SiteRules;

/**
 * Limits the traffic to hosts that have just started, whose capacity rises with time. A host fails if all gateways
 * together send it more than {@link SiteRules#overloadMultiple()} times its present capacity (WIRE, rule 4), so each
 * gateway sends it only a limited share of the traffic.
 */
final class SlowStart {
    private static final double OVERLOAD_SAFETY_FACTOR = 0.7; // leaves room for bursts
    private static final double MIN_CAPACITY_SHARE = 0.01; // above 0, since scores are divided by it

    private final double slowStartInitialCapacityShare;
    private final double slowStartMs;
    private final double overloadMultiple;

    SlowStart(SiteRules rules) {
        slowStartInitialCapacityShare = rules.slowStartInitialCapacityShare();
        slowStartMs = Math.max(1, rules.slowStartMs());
        overloadMultiple = rules.overloadMultiple();
    }

    /** Returns the share of its full capacity that an endpoint has at {@code now}: above 0, at most 1. */
    double capacityShare(Endpoint endpoint, double now) {
        double elapsedShare = (now - endpoint.startedAtMs()) / slowStartMs;
        return elapsedShare >= 1
                ? 1
                : Math.max(
                        MIN_CAPACITY_SHARE,
                        slowStartInitialCapacityShare
                                + (1 - slowStartInitialCapacityShare) * Math.max(0, elapsedShare));
    }

    /** Returns whether an endpoint has less than its full capacity because it has just started. */
    boolean isWarmingUp(Endpoint endpoint, double now) {
        return capacityShare(endpoint, now) < 1;
    }

    /** Returns the traffic that may go to an endpoint, relative to a warm one; can exceed 1 if it is nearly warm. */
    double allowedShare(Endpoint endpoint, double now) {
        return OVERLOAD_SAFETY_FACTOR * overloadMultiple * capacityShare(endpoint, now);
    }

    /**
     * Credits an endpoint with its allowed share of one request. If the credit is then worth a request, deducts it and
     * returns true. Credit limits an endpoint's requests better than a random draw would: the draws of many gateways
     * may coincide and exceed the few requests that it can take.
     */
    boolean accrueCredit(Endpoint endpoint, double now) {
        double credit = endpoint.slowStartCredit() + Math.min(1, allowedShare(endpoint, now));
        boolean earned = credit >= 1;
        endpoint.setSlowStartCredit(earned ? credit - 1 : credit);
        return earned;
    }

    /** Deducts the credit of a request that the endpoint gets without having earned it, down to a credit of -1. */
    void deductCredit(Endpoint endpoint) {
        endpoint.setSlowStartCredit(Math.max(-1, endpoint.slowStartCredit() - 1));
    }
}
