package caperrudder.policy;

import caperrudder.api.Plan;

/**
 * The odds that a try which this gateway lets in is beyond its customer's quota, and what they make the try worth.
 * Where gateways learn of each other by the meter alone, one of many meets most customers for the first time: it
 * knows nothing of them, but its answers tell how often such tries of their plan turned out beyond.
 */
final class AdmissionOdds {
    private static final double LEAST_GAIN = 0.05; // weight of one answer in the odds of a plan
    private static final double PRIOR_ANSWERS = 1; // inside, as if seen before the first answer
    private static final double FADE_MS = 60_000; // odds that no answer confirms fade: tries are let in again
    private static final double KNOWN_PERIODS = 1.5; // of the meter: so soon its figure of a customer ages
    private static final double COMES_AGAIN = 0.15; // of its worth: what a refused client still gets by its next try
    private static final double MARGIN = 0.15; // of the worth about nought, in which a part is let in
    private static final double LEAST_SHARE = 0.05; // let in whatever the odds, so that they are learned anew
    private static final double EMPTY_SHARE = 0.75; // of the time over its rate in which a store is empty already
    private static final double PEAK_OF_MEAN = 2; // attempts open: the peak of a period as a multiple of their mean

    private final Plan plan;
    private final double knownMs;
    private double beyond;
    private double meanUnits = 1;
    private double learnedAt;
    private int answers;
    private double saved = 0.5; // shares of tries not let in yet: one is worth a try

    AdmissionOdds(Plan plan, double meterPeriodMs) {
        this.plan = plan;
        this.knownMs = KNOWN_PERIODS * meterPeriodMs;
    }

    /** Whether the gateway knows so little of a customer by now that its next answer tells of its plan. */
    boolean isUnknown(double figureAgeMs) {
        return figureAgeMs > knownMs;
    }

    /** An answer to a try of a customer that was unknown; {@code use}: of its quota, by all gateways, as metered. */
    void learn(double now, double units, double use) {
        double gain = Math.max(LEAST_GAIN, 1 / (PRIOR_ANSWERS + ++answers));
        double faded = faded(now);
        beyond = faded + gain * (beyondAt(use) - faded);
        meanUnits += gain * (units - meanUnits);
        learnedAt = now;
    }

    /**
     * Lets in what is worth more than it costs, and little of what isn't.
     *
     * @param usefulShare of its worth that an answer to this try earns on the mean, by its time
     * @param takenFromOthers worth that the hosts' time for this try costs other requests, as a share of its own
     * @param figureAgeMs age of the meter's last figure of its customer, {@code use}
     */
    boolean admits(
            double now, double units, double usefulShare, double takenFromOthers, double figureAgeMs, double use) {
        double known = Math.exp(-figureAgeMs / knownMs);
        double odds = known * beyondAt(use) + (1 - known) * unknownBeyond(now, units);
        double worth = (1 - odds) * usefulShare
                - odds * (plan.overQuotaCost() - plan.overQuotaValue())
                - takenFromOthers
                - COMES_AGAIN;
        saved += Math.max(LEAST_SHARE, Math.min(1, (worth + MARGIN) / (2 * MARGIN)));
        if (saved < 1) return false;
        saved -= 1;
        return true;
    }

    private double faded(double now) {
        return beyond * Math.exp(-(now - learnedAt) / FADE_MS);
    }

    /** In a store that is nearly empty the more units find no room the more there are; open attempts all count one. */
    private double unknownBeyond(double now, double units) {
        double mean = faded(now);
        return plan.unitsPerSecond() > 0 ? Math.min(1, mean * units / meanUnits) : mean;
    }

    private double beyondAt(double use) {
        return plan.unitsPerSecond() > 0 ? EMPTY_SHARE * (1 - 1 / Math.max(1, use)) : openBeyond(use);
    }

    /** Attempts open at once vary as Poisson counts: the odds that the limit is reached when one more comes. */
    private double openBeyond(double use) {
        double mean = use * plan.concurrencyLimit() / PEAK_OF_MEAN;
        double term = Math.exp(-mean);
        double room = 0;
        for (int open = 0; open < plan.concurrencyLimit(); open++) {
            room += term;
            term *= mean / (open + 1);
        }
        return 1 - room;
    }
}
