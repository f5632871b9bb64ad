package caperrudder.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Parts of a body hold little more than their bytes, however small the parts: once each held all it was read into. */
class PartQueueTest {
    private static final int READ_BYTES = 16 * 1024;

    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);

    private ByteBuf read(String text) {
        return allocator.directBuffer(READ_BYTES).writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    private long heldBytes() {
        return allocator.metric().usedDirectMemory();
    }

    @Test
    void smallPartsShareBuffersAndKeepTheirOrder() {
        PartQueue queue = new PartQueue();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 5000; i++) {
            queue.add(read("p" + i));
            all.append('p').append(i);
        }
        queue.add(read("q".repeat(READ_BYTES)));
        all.append("q".repeat(READ_BYTES));
        assertEquals(all.length(), queue.heldBytes());
        assertTrue(heldBytes() <= 2L * all.length(), heldBytes() + " bytes are held");
        StringBuilder taken = new StringBuilder();
        for (ByteBuf part = queue.poll(); part != null; part = queue.poll()) {
            taken.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        assertEquals(all.toString(), taken.toString());
        assertTrue(queue.isEmpty());
        assertEquals(0, queue.heldBytes());
        assertEquals(0, heldBytes());
    }

    /** A part that is being written must not change while others come. */
    @Test
    void partThatWasTakenIsNotWrittenToAnyMore() {
        PartQueue queue = new PartQueue();
        queue.add(read("a"));
        ByteBuf first = queue.poll();
        queue.add(read("b"));
        assertEquals("a", first.toString(StandardCharsets.US_ASCII));
        first.release();
        queue.releaseAll();
        assertNull(queue.poll());
        assertEquals(0, heldBytes());
    }

    @Test
    void bodyInSmallPartsHoldsLittleMoreThanItsBytes() {
        BodyBuffer body = new BodyBuffer();
        for (int i = 0; i < 30; i++) {
            for (String text : new String[] {"x".repeat(2048), "y"}) {
                ByteBuf part = read(text);
                body.add(part);
                part.release();
            }
        }
        assertEquals(30 * 2049, body.length());
        assertTrue(heldBytes() <= 2L * body.length(), heldBytes() + " bytes are held");
        ByteBuf whole = body.take();
        assertEquals("x".repeat(2048) + "y", whole.toString(0, 2049, StandardCharsets.US_ASCII));
        whole.release();
        body.release();
        assertEquals(0, heldBytes());
    }
}
