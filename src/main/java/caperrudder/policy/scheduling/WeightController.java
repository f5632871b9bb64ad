package caperrudder.policy.scheduling;

import java.util.List;

/**
 * Moves scheduling weight between traffic classes so that each meets its delay goal, by the donation algorithm of page
 * PAPER (DESIGN: Donation). At each interval the underweight class that misses its goal the most receives weight from
 * the overweight classes, in proportion to their surplus. Weight moves only if no slot of the concurrency limit was
 * free at some time during the interval. The interval doubles after each donation, so that delays settle. Confined to
 * the policy's thread.
 */
public final class WeightController {
    private static final double APPLIED_DONATION_SHARE = 0.5; // of a computed donation; beta in page PAPER
    private static final double DELAY_AVERAGING_MS = 500;
    private static final double MIN_DONATION_INTERVAL_MS = 1000;
    private static final double MAX_DONATION_INTERVAL_MS = 8000;

    private final List<TrafficClass> classes;
    private final ConcurrencyLimit limit;
    private double delaysAveragedAt;
    private double donationCheckedAt;
    private double donationIntervalMs = MIN_DONATION_INTERVAL_MS;

    /** Starts the first interval at {@code now}, in milliseconds of the policy's clock. */
    public WeightController(double now, List<TrafficClass> classes, ConcurrencyLimit limit) {
        this.classes = classes;
        this.limit = limit;
        this.delaysAveragedAt = now;
        this.donationCheckedAt = now;
    }

    /** Averages delays and donates weight if the interval for each has ended; must be called on each timer tick. */
    public void update(double now) {
        if (now - delaysAveragedAt < DELAY_AVERAGING_MS) return;
        delaysAveragedAt = now;
        for (TrafficClass trafficClass : classes) {
            trafficClass.weight().endTick();
        }
        if (now - donationCheckedAt < donationIntervalMs) return;
        donationCheckedAt = now;
        boolean donated = limit.takeSaturated() && measureAndDonate();
        donationIntervalMs =
                donated ? Math.min(MAX_DONATION_INTERVAL_MS, donationIntervalMs * 2) : MIN_DONATION_INTERVAL_MS;
    }

    private boolean measureAndDonate() {
        for (TrafficClass trafficClass : classes) {
            trafficClass.weight().measureSlope();
        }
        return donate(classes.stream().map(TrafficClass::weight).toList());
    }

    /**
     * Makes one donation, which keeps the sum of all weights. Returns false if no weight moved, because no class is
     * underweight or none has a surplus.
     */
    static boolean donate(List<ClassWeight> weights) {
        ClassWeight worst = worstUnderweight(weights);
        double totalSurplus = 0;
        for (ClassWeight donor : weights) {
            totalSurplus += donor.surplus();
        }
        if (worst == null || totalSurplus <= 0) return false;
        double wanted = worst.wantedWeight();
        double donated = 0;
        for (ClassWeight donor : weights) {
            if (donor.surplus() <= 0) continue;
            donated += donor.give(
                    APPLIED_DONATION_SHARE * Math.min(wanted * donor.surplus() / totalSurplus, donor.largestGift()));
        }
        worst.receive(donated);
        return donated > 0;
    }

    /** Returns the underweight class whose delay exceeds its goal by the largest ratio, or null if there is none. */
    private static ClassWeight worstUnderweight(List<ClassWeight> weights) {
        ClassWeight worst = null;
        for (ClassWeight weight : weights) {
            if (!weight.isUnderweight()) continue;
            if (worst == null || weight.delayRatio() > worst.delayRatio()) worst = weight;
        }
        return worst;
    }
}
