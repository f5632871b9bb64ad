package caperrudder.server.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Puts a short body together. One that comes in one part stays in the buffer that it was read into; further parts are
 * copied behind it, so that many small ones don't hold a buffer each. On the event loop only.
 */
public final class BodyBuffer {
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean copied; // into a buffer of its own, which may grow

    /** The bytes that have come. */
    public int length() {
        return body.readableBytes();
    }

    /** Adds a part, which the caller still owns. */
    public void add(ByteBuf part) {
        if (!part.isReadable()) {
            return;
        }
        if (!body.isReadable() && !MessageBodies.isWasteful(part)) {
            body = part.retain();
            return;
        }
        if (!copied) {
            ByteBuf first = body;
            body = part.alloc().directBuffer(first.readableBytes() + part.readableBytes());
            body.writeBytes(first);
            first.release();
            copied = true;
        }
        body.writeBytes(part);
    }

    /** What has come, which the caller owns; the next part begins another body. */
    public ByteBuf take() {
        ByteBuf taken = body;
        body = Unpooled.EMPTY_BUFFER;
        copied = false;
        return taken;
    }

    /** Releases what has come. */
    public void release() {
        take().release();
    }
}
