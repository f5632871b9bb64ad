package caperrudder.server.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What is set aside for discovery, peers and the program itself. */
class DescriptorBudgetTest {
    @ParameterizedTest
    @ValueSource(ints = {128, 192, 256, 512, 1024, 4096})
    void exclusiveBudgetFitsTheLimitAndGivesClientsAThird(int limit) {
        DescriptorBudget d = DescriptorBudget.exclusive(limit);
        assertTrue(d.maximumInUse() <= limit, d.toString());
        assertTrue(d.clients() >= limit / 3, d.toString());
        assertTrue(d.hosts() >= limit / 4, d.toString());
    }

    /** Half of the sockets are a process's own where two run; there is one second address each, told at its start. */
    @ParameterizedTest
    @ValueSource(ints = {256, 512, 1024, 4096})
    void sharedBudgetsOfTwoProcessesFitTheLimit(int limit) {
        DescriptorBudget d = DescriptorBudget.shared(limit);
        assertTrue(d.clients() + d.hosts() + d.admin() + 16 <= limit / 2, d.toString());
        assertTrue(2 * d.clients() >= limit / 3, d.toString());
        assertEquals(DescriptorBudget.exclusive(limit).admin(), d.admin());
    }
}
