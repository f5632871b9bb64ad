package caperrudder.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks that retries are limited to a share of first attempts. */
class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    private int spendAll() {
        int spent = 0;
        while (budget.hasToken()) {
            budget.spend();
            spent++;
        }
        return spent;
    }

    @Test
    void budgetStartsWithHalfOfItsMaximum() {
        assertEquals(10, spendAll());
    }

    @Test
    void fiveFirstAttemptsEarnOneRetry() {
        spendAll();
        for (int i = 0; i < 4; i++) {
            budget.earn();
        }
        assertFalse(budget.hasToken());
        budget.earn();
        budget.earn(); // one more, because the sum of five times 0.2 may be rounded to less than 1
        assertTrue(budget.hasToken());
    }

    @Test
    void savedRetriesAreLimitedToTheMaximum() {
        for (int i = 0; i < 1000; i++) {
            budget.earn();
        }
        assertEquals(20, spendAll());
    }
}
