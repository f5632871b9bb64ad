package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Plan;
import caperrudder.policy.QuotaSimulation.Admission;
import caperrudder.policy.QuotaSimulation.CustomerBehaviour;
import caperrudder.policy.QuotaSimulation.Result;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * On a quiet day the quotas hold over fleets of 20 and 95 gateways that know of each other by the meter alone: what
 * is admitted beyond them costs hardly more than under a policy that sees the actual state late.
 */
class OverQuotaCostTest {
    private static final double RUN_MS = 25_000;
    private static final double RESPONSE_MS = 230;
    private static final double COST_MARGIN = 0.05; // of the value inside: half of what is allowed
    private static final double SERVED_MARGIN = 0.05; // of it: half of what is allowed
    private static final double REJECTED_WITH_CAPACITY_MARGIN = 0.05; // of the requests

    private static Plan plan(String name, double rate, double burst, int openLimit, double price, double overCost) {
        return new Plan(name, rate, burst, openLimit, price, 0, overCost, 0, 0, 0);
    }

    private static int[] customers(int gateways, int... of95) {
        return Arrays.stream(of95).map(c -> c * gateways / 95).toArray();
    }

    private static void assertCostHolds(
            int gateways, long seed, List<Plan> plans, int[] customers, CustomerBehaviour habits, double maxUnits) {
        List<QuotaSimulation.ClientRequest> requests =
                QuotaSimulation.requests(gateways, plans, customers, habits, RESPONSE_MS, RUN_MS, seed);
        QuotaSimulation world = new QuotaSimulation(gateways, requests, RESPONSE_MS);
        Admission harnesses = world.fleet(plans, maxUnits, seed);
        Result late = world.play(world.delayedView(), seed);
        Result fleet = world.play(harnesses, seed);
        String figures = fleet + ", delayed view " + late;
        assertAll(
                () -> assertTrue(fleet.excessCost() <= late.excessCost() + COST_MARGIN, figures),
                () -> assertTrue(fleet.served() >= late.served() - SERVED_MARGIN, figures),
                () -> assertTrue(
                        fleet.rejectedWithCapacity() <= late.rejectedWithCapacity() + REJECTED_WITH_CAPACITY_MARGIN,
                        figures));
    }

    @ParameterizedTest
    @CsvSource({"20, 1", "20, 2", "20, 3", "95, 1", "95, 2", "95, 3"})
    void costHoldsWhereRequestsTakeOneUnit(int gateways, long seed) {
        List<Plan> plans = List.of(
                plan("low", 0.8, 3.2, 0, 0.8, 1.2),
                plan("middle", 2.7, 10, 0, 1.1, 0.5),
                plan("high", 11, 22, 0, 1.4, 0.8));
        assertCostHolds(
                gateways,
                seed,
                plans,
                customers(gateways, 200, 120, 40),
                new CustomerBehaviour(0.09, 3, 0.2, 5, 2800, r -> 1),
                1);
    }

    @ParameterizedTest
    @CsvSource({"20, 1", "20, 2", "20, 3", "95, 1", "95, 2", "95, 3"})
    void costHoldsWhereRequestsDifferAndAPlanLimitsConcurrency(int gateways, long seed) {
        List<Plan> plans = List.of(
                plan("low", 1.6, 8, 0, 0.88, 1.2), plan("open", 0, 0, 2, 1.3, 1.2), plan("high", 30, 60, 0, 1.8, 1.2));
        CustomerBehaviour habits = new CustomerBehaviour(
                0.1, 3.8, 0.2, 4.6, 3000, r -> Math.min(4, Math.max(1, Math.ceil(-2 * Math.log(1 - r.nextDouble())))));
        assertCostHolds(gateways, seed, plans, customers(gateways, 360, 105, 42), habits, 4);
    }
}
