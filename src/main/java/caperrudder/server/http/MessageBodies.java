package caperrudder.server.http;

import io.netty.buffer.ByteBuf;

/** What the bodies of requests and of responses have in common. */
public final class MessageBodies {
    /** Bytes that a body may have; those that occur reach 32 MB. */
    public static final int MAX_BYTES = 40 << 20;

    private static final int WASTE_MAX_BYTES = 2 * 1024; // beside as much again as the part itself

    private MessageBodies() {}

    /** Whether a part holds a buffer much larger than itself: then a copy is kept rather than the part. */
    static boolean isWasteful(ByteBuf part) {
        ByteBuf backing = part;
        while (backing.unwrap() != null) {
            backing = backing.unwrap();
        }
        return backing.capacity() > 2 * part.readableBytes() + WASTE_MAX_BYTES;
    }
}
