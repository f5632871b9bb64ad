package caperrudder.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Retries as a share of first attempts. */
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
    void halfOfTheLargestBudgetIsThereFromTheStart() {
        assertEquals(10, spendAll());
    }

    @Test
    void fiveFirstAttemptsEarnARetry() {
        spendAll();
        for (int i = 0; i < 4; i++) {
            budget.earn();
        }
        assertFalse(budget.hasToken());
        budget.earn();
        budget.earn(); // sums of fifths are not exact
        assertTrue(budget.hasToken());
    }

    @Test
    void savedRetriesAreBounded() {
        for (int i = 0; i < 1000; i++) {
            budget.earn();
        }
        assertEquals(20, spendAll());
    }
}
