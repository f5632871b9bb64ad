package caperrudder.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import org.junit.jupiter.api.Test;

/** What a head may hold: the lines that the gateway asks for, and of those no more than a limit in bytes. */
class StrictHeadersTest {
    private static final int HEAP_BYTES = 600_000; // of which a sixth may be heads

    private final HeadMemory memory = new HeadMemory(HEAP_BYTES);
    private HeadMemory.Lease lease;

    private HttpHeaders headers() {
        return StrictHeaders.ofRequests(RequestHeaders.SINGLE_VALUED, () -> {
                    lease = memory.lease();
                    return lease;
                })
                .newHeaders();
    }

    /** 8 KB of lines that nobody asks for once cost 220 KB of the heap. */
    @Test
    void lineThatNobodyAsksForIsCheckedAndNotHeld() {
        HttpHeaders headers = headers();
        for (int i = 0; i < 1600; i++) {
            headers.add("a", "b");
        }
        assertEquals(0, headers.size());
        assertEquals(0, memory.heldBytes());
        assertThrows(IllegalArgumentException.class, () -> headers.add("a b", "c"));
        assertThrows(IllegalArgumentException.class, () -> headers.add("a", "b\r\nc"));
    }

    @Test
    void linesThatAreAskedForHoldNoMoreThanTheirLimit() {
        HttpHeaders headers = headers();
        assertThrows(TooLongHttpHeaderException.class, () -> {
            for (int i = 0; i < 1600; i++) {
                headers.add("Connection", "b");
            }
        });
        assertTrue(memory.heldBytes() <= StrictHeaders.MAX_BYTES);
    }

    @Test
    void headsOfAllMessagesTogetherHoldNoMoreThanTheirShareUntilTheyAreGone() {
        assertThrows(HeadMemoryExceededException.class, () -> {
            for (int i = 0; i < 1000; i++) {
                headers().add("X-Trace-Id", "x".repeat(1000));
            }
        });
        assertTrue(memory.heldBytes() <= HEAP_BYTES / 6);
        long heldBytes = memory.heldBytes();
        HttpHeaders last = headers();
        HeadMemory.Lease first = lease;
        last.add("Host", "h");
        first.close();
        first.close();
        assertEquals(heldBytes, memory.heldBytes());
    }
}
