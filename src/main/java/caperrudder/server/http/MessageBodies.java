package caperrudder.server.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;

/** What the bodies of requests and of responses have in common. */
public final class MessageBodies {
    /** Bytes that a body may have; those that occur reach 32 MB. */
    public static final int MAX_BYTES = 40 << 20;

    private MessageBodies() {}

    /**
     * Parts of a body one behind the other, without a copy.
     *
     * @param body what has come before, which is taken over
     * @param part what comes behind it, which is retained where it is used
     */
    public static ByteBuf join(ChannelHandlerContext ctx, ByteBuf body, ByteBuf part) {
        if (!part.isReadable()) {
            return body;
        }
        if (!body.isReadable()) {
            body.release();
            return part.retain();
        }
        CompositeByteBuf all = body instanceof CompositeByteBuf composite
                ? composite
                : ctx.alloc().compositeBuffer().addComponent(true, body);
        return all.addComponent(true, part.retain());
    }
}
