package caperrudder.policy.quota;

import caperrudder.api.Plan;

/**
 * The odds that a request which this gateway admits is beyond its customer's quota, and what they make the request
 * worth. Where gateways learn of each other by the meter alone, one of many meets most customers for the first time:
 * it knows nothing of them, but responses show how often such requests of their plan turned out beyond.
 *
 * <p>Not thread-safe.
 */
final class AdmissionOdds {
    private static final double LEAST_GAIN = 0.05; // weight of one response in the odds of a plan
    private static final double PRIOR_RESPONSES = 1; // inside, as if seen before the first response
    private static final double FADE_MS = 60_000; // odds that no response confirms fade: requests are admitted again
    private static final double KNOWN_PERIODS = 1.5; // of the meter: so soon its figure of a customer ages
    private static final double RETRY_VALUE = 0.15; // of its value: what a rejected client still gets by its retry
    private static final double MARGIN = 0.15; // of the value about zero, in which some are admitted
    private static final double LEAST_SHARE = 0.05; // admitted whatever the odds, so that they are learned anew
    private static final double EMPTY_SHARE = 0.75; // of the time over its rate in which a bucket is empty already
    private static final double PEAK_OF_MEAN = 2; // open requests: the peak of a period as a multiple of their mean
    private static final double FIRST_CREDIT = 0.5;

    private final Plan plan;
    private final double knownMs;
    private double beyondQuota;
    private double meanUnits = 1;
    private double learnedAt;
    private int responses;
    private double credit = FIRST_CREDIT; // shares of requests not admitted yet: one is worth a request

    AdmissionOdds(Plan plan, double meterPeriodMs) {
        this.plan = plan;
        this.knownMs = KNOWN_PERIODS * meterPeriodMs;
    }

    /** Whether the gateway knows so little of a customer by now that its next response counts for its plan. */
    boolean isUnknown(double figureAgeMs) {
        return figureAgeMs > knownMs;
    }

    /** A response for a customer that was unknown; its use by all gateways is a multiple of its quota, as metered. */
    void learn(double now, double units, double useMultiple) {
        double gain = Math.max(LEAST_GAIN, 1 / (PRIOR_RESPONSES + ++responses));
        double faded = faded(now);
        beyondQuota = faded + gain * (beyondAt(useMultiple) - faded);
        meanUnits += gain * (units - meanUnits);
        learnedAt = now;
    }

    /**
     * Admits what is worth more than it costs, and little of what isn't.
     *
     * @param valueShare of its value that a response to this request earns on the mean, by its time
     * @param takenFromOthers value that the hosts' time for this request costs others, as a share of its own
     * @param figureAgeMs age of the meter's last figure of its customer, {@code useMultiple}
     */
    boolean admits(
            double now,
            double units,
            double valueShare,
            double takenFromOthers,
            double figureAgeMs,
            double useMultiple) {
        double known = Math.exp(-figureAgeMs / knownMs);
        double odds = known * beyondAt(useMultiple) + (1 - known) * unknownBeyond(now, units);
        double excessCost = plan.overQuotaCost() - plan.overQuotaValue();
        double value = (1 - odds) * valueShare - odds * excessCost - takenFromOthers - RETRY_VALUE;
        credit += Math.max(LEAST_SHARE, Math.min(1, (value + MARGIN) / (2 * MARGIN)));
        if (credit < 1) return false;
        credit -= 1;
        return true;
    }

    private double faded(double now) {
        return beyondQuota * Math.exp(-(now - learnedAt) / FADE_MS);
    }

    /** In a bucket that is nearly empty more units find no space more often; open requests all count one. */
    private double unknownBeyond(double now, double units) {
        double mean = faded(now);
        return plan.unitsPerSecond() > 0 ? Math.min(1, mean * units / meanUnits) : mean;
    }

    private double beyondAt(double useMultiple) {
        return plan.unitsPerSecond() > 0
                ? EMPTY_SHARE * (1 - 1 / Math.max(1, useMultiple))
                : concurrencyBeyond(useMultiple);
    }

    /** Requests open at once vary as Poisson counts: the odds that the limit is reached when one more comes. */
    private double concurrencyBeyond(double useMultiple) {
        double mean = useMultiple * plan.concurrencyLimit() / PEAK_OF_MEAN;
        double term = Math.exp(-mean);
        double belowLimit = 0;
        for (int open = 0; open < plan.concurrencyLimit(); open++) {
            belowLimit += term;
            term *= mean / (open + 1);
        }
        return 1 - belowLimit;
    }
}
