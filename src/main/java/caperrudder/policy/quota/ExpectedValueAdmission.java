package caperrudder.policy.quota;

import caperrudder.api.Plan;

/**
 * Admits requests of one plan by their expected value, given the probability that a request is over its customer's
 * quota. Used if the meter alone reports what other gateways admit. One gateway of many then knows nothing of the use
 * of most customers, but it learns from responses how often requests of such unknown customers are over the quota.
 *
 * <p>Not thread-safe.
 */
final class ExpectedValueAdmission {
    /** Lower bound of the weight that one response has in the estimate of the plan. */
    private static final double MIN_LEARNING_RATE = 0.05;
    /** Responses within the quota that are assumed before the first response. */
    private static final double PRIOR_RESPONSES = 1;
    /** Time constant of the estimate's decay without responses; requests are admitted again as it decays. */
    private static final double ESTIMATE_DECAY_MS = 60_000;
    /** Time constant, in periods of the meter, of the weight of a customer's last figure. */
    private static final double FIGURE_DECAY_METER_PERIODS = 1.5;
    /** Share of a request's value that its client still gets by a retry after a rejection. */
    private static final double REJECTED_VALUE_SHARE = 0.15;
    /** Distance from an expected value of zero within which a part of the requests is admitted. */
    private static final double BREAK_EVEN_MARGIN = 0.15;
    /** Share of requests that is admitted at any expected value, so that the estimate is updated. */
    private static final double MIN_ADMITTED_SHARE = 0.05;
    /** Share of the time in which a bucket is empty while the customer's use is over its rate. */
    private static final double EMPTY_BUCKET_TIME_SHARE = 0.75;
    /** Most requests open at once in a period of the meter, relative to their mean. */
    private static final double PEAK_TO_MEAN_RATIO = 2;

    private static final double INITIAL_CREDIT = 0.5;

    private final Plan plan;
    private final double figureDecayMs;
    private double overQuotaProbability;
    private double meanUnits = 1;
    private double learnedAt;
    private int responses;
    private double credit = INITIAL_CREDIT; // sum of the shares of requests to admit; each admission takes 1

    ExpectedValueAdmission(Plan plan, double meterPeriodMs) {
        this.plan = plan;
        this.figureDecayMs = FIGURE_DECAY_METER_PERIODS * meterPeriodMs;
    }

    /**
     * Returns whether the meter's last figure of a customer is so old that the customer counts as unknown, and its next
     * response counts for the estimate of the plan.
     */
    boolean isCustomerUnknown(double figureAgeMs) {
        return figureAgeMs > figureDecayMs;
    }

    /**
     * Updates the estimate by a response for a customer that was unknown.
     *
     * @param useMultiple metered use of all gateways as a multiple of the customer's quota
     */
    void recordResponse(double now, double units, double useMultiple) {
        double learningRate = Math.max(MIN_LEARNING_RATE, 1 / (PRIOR_RESPONSES + ++responses));
        double previous = decayedProbability(now);
        overQuotaProbability = previous + learningRate * (probabilityAtUse(useMultiple) - previous);
        meanUnits += learningRate * (units - meanUnits);
        learnedAt = now;
    }

    /**
     * Returns whether to admit a request. All requests are admitted if their expected value is well above that of a
     * rejection, and a small share if it is well below.
     *
     * @param valueShare share of the request's value that a response is expected to earn, by its latency
     * @param delayCostShare value that other requests lose by the delay, as a share of this request's value
     * @param figureAgeMs age of {@code useMultiple}, the meter's last figure of the customer; infinite if there is none
     * @param useMultiple metered use of all gateways as a multiple of the customer's quota
     */
    boolean admits(
            double now,
            double units,
            double valueShare,
            double delayCostShare,
            double figureAgeMs,
            double useMultiple) {
        double figureWeight = StrictMath.exp(-figureAgeMs / figureDecayMs);
        double probability =
                figureWeight * probabilityAtUse(useMultiple) + (1 - figureWeight) * unknownProbability(now, units);
        double netExcessCost = plan.overQuotaCostRatio() - plan.overQuotaValueShare();
        double expectedValue =
                (1 - probability) * valueShare - probability * netExcessCost - delayCostShare - REJECTED_VALUE_SHARE;
        credit += Math.max(
                MIN_ADMITTED_SHARE, Math.min(1, (expectedValue + BREAK_EVEN_MARGIN) / (2 * BREAK_EVEN_MARGIN)));
        if (credit < 1) return false;
        credit -= 1;
        return true;
    }

    private double decayedProbability(double now) {
        return overQuotaProbability * StrictMath.exp(-(now - learnedAt) / ESTIMATE_DECAY_MS);
    }

    /**
     * Returns the probability that a request of an unknown customer is over the quota. With a rate it grows with the
     * units of the request, because a bucket is more often too low for a large request than for a small one. With a
     * concurrency limit all requests count alike.
     */
    private double unknownProbability(double now, double units) {
        double mean = decayedProbability(now);
        return plan.unitsPerSecond() > 0 ? Math.min(1, mean * units / meanUnits) : mean;
    }

    private double probabilityAtUse(double useMultiple) {
        return plan.unitsPerSecond() > 0
                ? EMPTY_BUCKET_TIME_SHARE * (1 - 1 / Math.max(1, useMultiple))
                : concurrencyProbabilityAtUse(useMultiple);
    }

    /**
     * Returns the probability that the concurrency limit is reached when a request arrives, if the number of open
     * requests has a Poisson distribution.
     */
    private double concurrencyProbabilityAtUse(double useMultiple) {
        double mean = useMultiple * plan.concurrencyLimit() / PEAK_TO_MEAN_RATIO;
        double term = StrictMath.exp(-mean);
        double belowLimit = 0;
        for (int open = 0; open < plan.concurrencyLimit(); open++) {
            belowLimit += term;
            term *= mean / (open + 1);
        }
        return 1 - belowLimit;
    }
}
