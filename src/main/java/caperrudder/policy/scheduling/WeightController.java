package caperrudder.policy.scheduling;

import java.util.List;

/**
 * Moves scheduling weight between traffic classes so that each meets its delay goal: the donation of the paper (DESIGN:
 * Donation). At each interval the worst underweight class receives from the overweight ones by their surplus. Weights
 * move only while the concurrency limit makes requests wait, and the interval doubles after each move so that delays
 * settle. Confined to the policy's thread.
 */
public final class WeightController {
    private static final double BETA = 0.5; // share of a computed donation that is committed; the paper's beta
    private static final double TICK_MS = 500; // averaging interval of delays
    private static final double MIN_INTERVAL_MS = 1000; // first interval between donations
    private static final double MAX_INTERVAL_MS = 8000; // longest interval, as it doubles after each donation

    private final List<TrafficClass> classes;
    private final ConcurrencyLimit limit;
    private double tickedAt;
    private double donatedAt;
    private double intervalMs = MIN_INTERVAL_MS;

    /** Starts at {@code now}, in milliseconds of the policy's clock. */
    public WeightController(double now, List<TrafficClass> classes, ConcurrencyLimit limit) {
        this.classes = classes;
        this.limit = limit;
        this.tickedAt = now;
        this.donatedAt = now;
    }

    /** Averages delays and donates weight where the time for it has come; to be called at each timer tick. */
    public void update(double now) {
        if (now - tickedAt < TICK_MS) return;
        tickedAt = now;
        for (TrafficClass trafficClass : classes) {
            trafficClass.weight().endTick();
        }
        if (now - donatedAt < intervalMs) return;
        donatedAt = now;
        boolean donated = limit.takeSaturated() && measureAndDonate();
        intervalMs = donated ? Math.min(MAX_INTERVAL_MS, intervalMs * 2) : MIN_INTERVAL_MS;
    }

    private boolean measureAndDonate() {
        for (TrafficClass trafficClass : classes) {
            trafficClass.weight().measureSlope();
        }
        return donate(classes.stream().map(TrafficClass::weight).toList());
    }

    /**
     * One donation; the sum of all weights stays. False where no weight moved: all classes are content, or all are
     * underweight, and then weights freeze.
     */
    static boolean donate(List<ClassWeight> weights) {
        ClassWeight worst = worstUnderweight(weights);
        double surplus = 0;
        for (ClassWeight donor : weights) {
            surplus += donor.surplus();
        }
        if (worst == null || surplus <= 0) return false;
        double wanted = worst.wantedWeight();
        double moved = 0;
        for (ClassWeight donor : weights) {
            if (donor.surplus() <= 0) continue;
            moved += donor.give(BETA * Math.min(wanted * donor.surplus() / surplus, donor.largestGift()));
        }
        worst.receive(moved);
        return moved > 0;
    }

    /** The underweight class that misses its goal by the largest ratio, or null where there is none. */
    private static ClassWeight worstUnderweight(List<ClassWeight> weights) {
        ClassWeight worst = null;
        for (ClassWeight weight : weights) {
            if (!weight.isUnderweight()) continue;
            if (worst == null || weight.delayRatio() > worst.delayRatio()) worst = weight;
        }
        return worst;
    }
}
