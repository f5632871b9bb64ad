package caperrudder.policy.scheduling;

import java.util.List;

/**
 * Moves scheduling weight between traffic classes so that each meets its delay goal, by the donation algorithm of page
 * PAPER (DESIGN: Donation). At each interval the class that misses its goal the most receives weight from those
 * that stay below their goals, in proportion to their surplus. Weight moves only if no slot of the concurrency limit
 * was free at some time during the interval. The interval doubles after each donation, so that delays settle. Confined
 * to the policy's thread.
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
            trafficClass.schedulingWeight().endTick();
        }
        if (now - donationCheckedAt < donationIntervalMs) return;
        donationCheckedAt = now;
        boolean donated = limit.getAndClearSaturated() && measureAndDonate();
        donationIntervalMs =
                donated ? Math.min(MAX_DONATION_INTERVAL_MS, donationIntervalMs * 2) : MIN_DONATION_INTERVAL_MS;
    }

    private boolean measureAndDonate() {
        for (TrafficClass trafficClass : classes) {
            trafficClass.schedulingWeight().measureSlope();
        }
        return donate(classes.stream().map(TrafficClass::schedulingWeight).toList());
    }

    /**
     * Makes one donation, which keeps the sum of all weights. Returns false if no weight moved, because no class needs
     * more weight or none has a surplus.
     */
    static boolean donate(List<ClassWeight> weights) {
        ClassWeight receiver = findReceiver(weights);
        double totalSurplus = 0;
        for (ClassWeight donor : weights) {
            totalSurplus += donor.weightSurplus();
        }
        if (receiver == null || totalSurplus <= 0) return false;
        double deficit = receiver.weightDeficit();
        double donated = 0;
        for (ClassWeight donor : weights) {
            if (donor.weightSurplus() <= 0) continue;
            donated += donor.donate(APPLIED_DONATION_SHARE
                    * Math.min(deficit * donor.weightSurplus() / totalSurplus, donor.maxDonation()));
        }
        receiver.receive(donated);
        return donated > 0;
    }

    /** Returns the class whose delay exceeds its goal by the largest ratio, or null if none needs more weight. */
    private static ClassWeight findReceiver(List<ClassWeight> weights) {
        ClassWeight receiver = null;
        for (ClassWeight weight : weights) {
            if (!weight.needsMoreWeight()) continue;
            if (receiver == null || weight.delayRatio() > receiver.delayRatio()) receiver = weight;
        }
        return receiver;
    }
}
