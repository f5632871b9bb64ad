package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.DeduplicationScope;
import caperrudder.api.Idempotency;
import caperrudder.api.Plan;
import caperrudder.api.RequestClass;
import caperrudder.policy.LoadedQuotaSimulation.Load;
import caperrudder.policy.LoadedQuotaSimulation.Result;
import caperrudder.policy.QuotaSimulation.CustomerBehaviour;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Before hosts that slow under load, fleets that know of each other by the meter alone hold the cost of what
 * passes beyond quotas near that of a policy that sees the actual state of all customers late, or well under it where
 * requests differ, and serve no less.
 */
class OverQuotaCostUnderLoadTest {
    private static final double RUN_MS = 25_000;
    private static final double RESPONSE_MS = 350; // about: by it customers with a concurrency limit know their quota
    private static final int SEEDS = 4;
    private static final double COST_MARGIN = 0.1; // more than the cost of the policy that sees late

    /** A deployment of a hundred gateways; customers and hosts scale with the number of gateways. */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    record Deployment(
            List<Plan> plans,
            int[] customers,
            CustomerBehaviour habits,
            double maxUnits,
            int hosts,
            int cores,
            double workMsPerUnit,
            List<RequestClass> classes) {}

    private static Plan plan(String name, double rate, double burst, int openLimit, double price, double overCost) {
        return new Plan(name, rate, burst, openLimit, price, 0, overCost, 0, 0, 0);
    }

    private static RequestClass requestClass(
            String name, double objectiveMs, double clientTimeoutMs, double priorityWeight) {
        return new RequestClass(
                name,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                objectiveMs,
                clientTimeoutMs,
                priorityWeight,
                0,
                false);
    }

    /** Requests of one to four units, and a plan with a concurrency limit. */
    private static final Deployment SIZES = new Deployment(
            List.of(
                    plan("low", 1.1, 8, 0, 0.88, 1.2),
                    plan("open", 0, 0, 2, 1.3, 1.2),
                    plan("high", 30, 47, 0, 1.8, 1.2)),
            new int[] {330, 60, 14},
            new CustomerBehaviour(
                    0.12,
                    4.5,
                    0.2,
                    5.5,
                    4000,
                    r -> Math.min(4, Math.max(1, Math.ceil(-2 * Math.log(1 - r.nextDouble()))))),
            4,
            56,
            2,
            130,
            List.of(requestClass("look", 824, 2617, 1), requestClass("lend", 1237, 2617, 2)));

    /** Requests of one unit each, long ones, and plans that price what is beyond differently. */
    private static final Deployment ONE_UNIT = new Deployment(
            List.of(
                    plan("low", 0.8, 3.2, 0, 0.8, 1.2),
                    plan("middle", 2.7, 10, 0, 1.1, 0.5),
                    plan("high", 11, 22, 0, 1.4, 0.8)),
            new int[] {210, 80, 22},
            new CustomerBehaviour(0.1, 4, 0.22, 6, 3500, r -> 1),
            1,
            60,
            3,
            400,
            List.of(requestClass("view", 1500, 5000, 1), requestClass("swap", 2000, 5000, 2)));

    /** A low rate with a small burst, a limit of two, and an excess that costs half. */
    private static final Deployment SMALL_BURSTS = new Deployment(
            List.of(plan("low", 0.5, 2, 0, 1, 0.5), plan("open", 0, 0, 2, 1.2, 0.5), plan("high", 12, 18, 0, 1.5, 0.5)),
            new int[] {300, 50, 24},
            new CustomerBehaviour(0.14, 4.5, 0.24, 6, 4000, r -> r.nextInt(3) == 0 ? 2 : 1),
            2,
            56,
            2,
            160,
            List.of(requestClass("look", 700, 2500, 1), requestClass("lend", 1100, 2500, 2)));

    private static Result[] play(Deployment d, int gateways, long seed) {
        int[] customers =
                Arrays.stream(d.customers()).map(c -> c * gateways / 100).toArray();
        List<QuotaSimulation.ClientRequest> requests =
                QuotaSimulation.requests(gateways, d.plans(), customers, d.habits(), RESPONSE_MS, RUN_MS, seed);
        Load load = new Load(d.hosts() * gateways / 100, d.cores(), d.workMsPerUnit(), d.classes());
        LoadedQuotaSimulation delayedView = new LoadedQuotaSimulation(gateways, requests, load);
        LoadedQuotaSimulation fleet = new LoadedQuotaSimulation(gateways, requests, load);
        return new Result[] {
            fleet.play(fleet.fleet(d.plans(), d.maxUnits(), seed), seed),
            delayedView.play(delayedView.delayedView(), seed)
        };
    }

    private static void assertCostHolds(Deployment d, int gateways, double costOverDelayed) {
        List<Result[]> all = LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> play(d, gateways, seed))
                .toList();
        Result fleet = Result.mean(all.stream().map(r -> r[0]).toList());
        Result late = Result.mean(all.stream().map(r -> r[1]).toList());
        String figures = fleet + "; delayed view: " + late;
        assertAll(
                () -> assertTrue(fleet.excessCost() <= late.excessCost() + costOverDelayed, figures),
                () -> assertTrue(fleet.served() >= late.served(), figures));
    }

    @ParameterizedTest
    @ValueSource(ints = {20, 95, 120})
    void costHoldsWhereRequestsDifferAndAPlanLimitsConcurrency(int gateways) {
        assertCostHolds(SIZES, gateways, -0.08);
    }

    @ParameterizedTest
    @ValueSource(ints = {20, 95, 120})
    void costHoldsWhereRequestsTakeOneUnit(int gateways) {
        assertCostHolds(ONE_UNIT, gateways, COST_MARGIN / 2);
    }

    @ParameterizedTest
    @ValueSource(ints = {20, 95, 120})
    void costHoldsWhereBurstsAreSmallAndExcessIsCheap(int gateways) {
        assertCostHolds(SMALL_BURSTS, gateways, COST_MARGIN / 2);
    }
}
