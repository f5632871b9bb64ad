package caperrudder.server.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * The size of the buffer of each read of one channel: by what the last ones brought, and within the budget. Outside of
 * bodies it is small, since whoever sends much there can leave it undecoded. On the event loop only.
 */
public final class ReadBuffers implements RecvByteBufAllocator {
    private static final int MIN_BYTES = 512;
    private static final int FIRST_BYTES = 2048;
    private static final int MAX_BYTES = 16 * 1024; // a stream holds little more than its window
    private static final int MAX_BYTES_OF_HEADS = 4 * 1024;
    private static final AdaptiveRecvByteBufAllocator ADAPTIVE =
            new AdaptiveRecvByteBufAllocator(MIN_BYTES, FIRST_BYTES, MAX_BYTES);

    private final BufferBudget budget;
    private int maxBytes = MAX_BYTES;

    ReadBuffers(BufferBudget budget) {
        this.budget = budget;
    }

    /** Whether a body is what comes next, or heads are. */
    public void setReadsBody(boolean body) {
        maxBytes = body ? MAX_BYTES : MAX_BYTES_OF_HEADS;
    }

    @Override
    @SuppressWarnings("deprecation") // the type of the method that is implemented
    public Handle newHandle() {
        return new BudgetedHandle(ADAPTIVE.newHandle());
    }

    @SuppressWarnings("deprecation") // as above
    private final class BudgetedHandle extends DelegatingHandle {
        BudgetedHandle(Handle adaptiveHandle) {
            super(adaptiveHandle);
        }

        @Override
        public int guess() {
            return Math.min(Math.min(super.guess(), maxBytes), budget.readBytes());
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }
    }
}
