package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import caperrudder.api.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What one gateway of many makes of the meter's word on a customer. */
class MeteredQuotaTest {
    private static final int GATEWAYS = 20;
    private static final long CUSTOMER = 42;

    private final FakeGateway g = new FakeGateway(1000, FakeGateway.metered(3, GATEWAYS, 7)).withHosts("a1", "a2");

    private void ask(String id, String plan, double units) {
        g.ask(id, "read", plan, CUSTOMER, units, GATEWAYS);
    }

    /** The meter's figure as an answer carries it. */
    private void answered(String id, int percentUsed) {
        g.pass(50);
        g.end(id, 0, Outcome.OK, 50, 1 + percentUsed);
    }

    @Test
    void whereTheMeterShowsALimitOfOpenAttemptsUsedUpByOthersNoFurtherOneIsLetIn() {
        ask("first", "open", 1);
        answered("first", 150); // three were out at once, two of them others'; the limit is two
        ask("second", "open", 1);
        assertEquals(List.of("second"), g.refused);
    }

    @Test
    void whatOthersHadOutIsForgottenAfterAWhile() {
        ask("first", "open", 1);
        answered("first", 150);
        g.pass(5100);
        ask("second", "open", 1);
        assertEquals(List.of(), g.refused);
    }

    @Test
    void aLimitOfOpenAttemptsThatNoOtherUsesIsUsedWhole() {
        g.ask("first", "read", "open", CUSTOMER, 1, 2);
        answered("first", 50); // one was out: its own
        for (String id : List.of("second", "third", "fourth")) {
            g.ask(id, "read", "open", CUSTOMER, 1, 2);
            g.pass(20);
        }
        assertEquals(List.of("fourth"), g.refused);
    }

    @Test
    void whereManyMayBringACustomerTheyLetInOneAfterAnotherNoSoonerThanTheLimitBears() {
        ask("first", "open", 1);
        answered("first", 0); // the meter is late: it tells nothing of a spell that has begun
        ask("second", "open", 1); // 50 ms after the first; a quarter of twenty in turn keep two places for 125
        assertEquals(List.of("second"), g.refused);
        g.pass(100);
        ask("third", "open", 1);
        assertEquals(List.of("second"), g.refused);
    }

    @Test
    void theOwnPartOfTheBurstIsNoWholeRequestAtEachOfManyGateways() {
        ask("first", "small", 1);
        answered("first", 1000);
        ask("second", "small", 3);
        assertEquals(List.of("second"), g.refused);
    }

    @Test
    void othersEmptyTheStoreFromTheRateOn() {
        ask("first", "small", 1);
        answered("first", 130);
        ask("second", "small", 4);
        ask("more", "small", 3); // of seven left when told; others use what fills the store, and more
        assertEquals(List.of("more"), g.refused);
    }
}
