package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * Stops what a client sends before it is read further. A socket that is not read at all does not tell that its client
 * has left, so a little is still taken from it and kept until the valve opens: behind that little its end is seen.
 */
final class Valve extends ChannelInboundHandlerAdapter {
    private static final int AHEAD = 4 * 1024; // bytes that are kept of a client whose requests wait their turn

    private final ArrayDeque<ByteBuf> kept = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private int bytes;
    private boolean shut;
    private boolean due; // what is kept goes on soon

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        ctx = added;
    }

    boolean isShut() {
        return shut;
    }

    /** Whether something has come that nobody has read yet. */
    boolean holds() {
        return !kept.isEmpty();
    }

    /** {@code ahead}: whether the end of the connection is to be seen all the same. */
    void shut(boolean ahead) {
        shut = true;
        ctx.channel().config().setAutoRead(ahead && bytes < AHEAD);
    }

    void open() {
        shut = false;
        if (kept.isEmpty()) {
            ctx.channel().config().setAutoRead(true);
        } else if (!due) {
            due = true;
            ctx.executor().execute(this::goOn); // not at once: this may be inside a read
        }
    }

    private void goOn() {
        due = false;
        boolean any = false;
        while (!shut && !kept.isEmpty()) {
            ByteBuf next = kept.poll();
            bytes -= next.readableBytes();
            any = true;
            ctx.fireChannelRead(next);
        }
        if (any) {
            ctx.fireChannelReadComplete();
        }
        if (!shut && kept.isEmpty()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!shut && kept.isEmpty()) {
            context.fireChannelRead(message);
            return;
        }
        ByteBuf more = (ByteBuf) message;
        kept.add(more);
        bytes += more.readableBytes();
        if (bytes >= AHEAD) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        kept.forEach(ByteBuf::release);
        kept.clear();
        context.fireChannelInactive();
    }
}
