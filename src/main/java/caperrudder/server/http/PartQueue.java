package caperrudder.server.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * Parts of a message in their order. Small ones share a buffer: alone, each would hold all of the buffer that it was
 * read into and some objects, however few its bytes. On the event loop only.
 */
public final class PartQueue {
    private static final int SHARED_BYTES = 2 * 1024;

    private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>(0);
    private ByteBuf shared; // the last one, where it may take further parts; else null
    private int heldBytes;

    /** Takes the part over; one without bytes is released. */
    public void add(ByteBuf part) {
        int length = part.readableBytes();
        if (length == 0) {
            part.release();
            return;
        }
        heldBytes += length;
        if (shared != null && shared.writableBytes() >= length) {
            shared.writeBytes(part);
            part.release();
        } else if (length >= SHARED_BYTES && !MessageBodies.isWasteful(part)) {
            shared = null;
            parts.add(part);
        } else {
            shared = part.alloc().directBuffer(Math.max(length, SHARED_BYTES), Math.max(length, SHARED_BYTES));
            shared.writeBytes(part);
            part.release();
            parts.add(shared);
        }
    }

    /** The next part, which the caller owns, or null where there is none. */
    public ByteBuf poll() {
        ByteBuf part = parts.poll();
        if (part != null) {
            heldBytes -= part.readableBytes();
        }
        if (parts.isEmpty()) {
            shared = null;
        }
        return part;
    }

    /** Whether there is none. */
    public boolean isEmpty() {
        return parts.isEmpty();
    }

    /** The bytes of all parts. */
    public int heldBytes() {
        return heldBytes;
    }

    /** Releases all parts. */
    public void releaseAll() {
        parts.forEach(ByteBuf::release);
        parts.clear();
        shared = null;
        heldBytes = 0;
    }
}
