package caperrudder.policy.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The donation of weight between traffic classes, and the measured slope that it depends on. */
class WeightControllerTest {
    private static final double OBJECTIVE_MS = 1000;

    private static ClassWeight weight(double weight, double delayMs, double slope) {
        ClassWeight state = new ClassWeight(OBJECTIVE_MS, weight);
        state.restore(weight, delayMs, slope);
        return state;
    }

    @Test
    void donationKeepsTheSumOfWeightsAndGoesToTheWorstClass() {
        ClassWeight slow = weight(0.3, 1500, 2000);
        ClassWeight easy = weight(0.4, 100, 2000);
        ClassWeight idle = weight(0.3, 300, 2000);
        assertTrue(WeightController.donate(List.of(slow, easy, idle)));
        assertEquals(1, slow.weight() + easy.weight() + idle.weight(), 1e-9);
        assertTrue(slow.weight() > 0.3 && easy.weight() < 0.4 && idle.weight() < 0.3);
        assertTrue(0.4 - easy.weight() > 0.3 - idle.weight(), "the class with the larger surplus donates more");
    }

    @Test
    void donationKeepsTheDonorsDelayBelowItsGoal() {
        ClassWeight slow = weight(0.5, 60_000, 100);
        ClassWeight donor = weight(0.5, 500, 1000);
        WeightController.donate(List.of(slow, donor));
        double maxDonation = (0.9 * donor.goalMs() - 500) / 1000;
        assertTrue(donor.weight() >= 0.5 - maxDonation && donor.weight() < 0.5 && donor.weight() > 0);
    }

    @Test
    void weightsStayPositiveAndDoNotMoveIfAllClassesNeedMoreWeight() {
        ClassWeight light = weight(0.03, 10, 0.0001);
        ClassWeight heavy = weight(0.97, 9000, 10);
        WeightController.donate(List.of(light, heavy));
        assertTrue(light.weight() > 0);
        ClassWeight slow = weight(0.5, 5000, 10);
        ClassWeight slower = weight(0.5, 9000, 10);
        assertFalse(WeightController.donate(List.of(slow, slower)));
        assertEquals(0.5, slow.weight());
    }

    @Test
    void slopeIsKeptIfTheDelayRisesWithTheWeight() {
        ClassWeight state = weight(0.4, 700, 1234);
        state.measureSlope(); // records the weight and delay to compare with
        state.restore(0.5, 800, 1234);
        state.measureSlope();
        assertEquals(1234, state.slope());
        state.restore(0.6, 500, 1234);
        state.measureSlope();
        assertEquals(3000, state.slope(), 1e-6);
    }
}
