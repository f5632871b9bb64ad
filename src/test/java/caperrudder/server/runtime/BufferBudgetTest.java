package caperrudder.server.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** However many messages hold as much as they may, their sum stays within the limit: windows that were granted did not. */
class BufferBudgetTest {
    private static final int MEMORY_MB = 192;
    private static final long DIRECT_BYTES = 16 << 20;
    private static final int MESSAGES = 800;

    @Test
    void messagesThatEachHoldTheirWindowStayWithinTheLimit() {
        BufferBudget budget = new BufferBudget(MEMORY_MB, DIRECT_BYTES);
        assertEquals(64 * 1024, budget.windowBytes());
        List<ByteBuf> held = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            held.add(budget.allocator().directBuffer(budget.windowBytes()));
        }
        assertEquals(4 * 1024, budget.windowBytes());
        assertEquals(1024, budget.readBytes());
        assertFalse(budget.hasPipelineRoom());
        assertTrue(budget.heldBytes() < DIRECT_BYTES, budget.heldBytes() + " bytes are held");
        while (!budget.isExhausted()) {
            held.add(budget.allocator().directBuffer(budget.windowBytes()));
        }
        assertTrue(budget.heldBytes() < DIRECT_BYTES, "exhausted too late");
        held.forEach(ByteBuf::release);
        assertEquals(0, budget.heldBytes());
        assertEquals(64 * 1024, budget.windowBytes());
    }

    @Test
    void limitFollowsTheMemoryThatIsGranted() {
        BufferBudget small = new BufferBudget(MEMORY_MB / 8, DIRECT_BYTES);
        assertTrue(small.windowBytes() < 64 * 1024);
    }
}
