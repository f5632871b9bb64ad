package caperrudder.server.downstream;

import caperrudder.server.runtime.StreamBufferBudget;
import caperrudder.server.runtime.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * Stops what a client sends before it is read further. A socket that is not read at all does not tell that its client
 * has left, so some is still taken from it and kept until the valve opens: behind that its end is seen. What a client
 * has sent beyond is read away once its end has to be known: then the connection ends behind what was kept.
 */
final class InboundFlowControl extends ChannelInboundHandlerAdapter {
    /** Told to the handlers behind when all that was kept has gone on and what came after it was read away. */
    enum Told {
        CUT_OFF
    }

    private static final int AHEAD_MIN = 4 * 1024; // bytes kept of each client whose requests wait their turn
    private static final int AHEAD_MAX = 128 * 1024; // while the budget for all of them lasts
    private static final int LOOKS_MAX = 1024; // reads of one look, each of some KiB: more than a socket holds
    private static final long FLOOD_BYTES = 8 << 20; // read away, after which the client is no longer borne

    private final ArrayDeque<ByteBuf> kept = new ArrayDeque<>();
    private final StreamBufferBudget budget;
    private ChannelHandlerContext ctx;
    private int bytes;
    private int borrowed; // of the budget, beyond what each may keep
    private long cameBytes;
    private long cutBytes;
    private boolean shut;
    private boolean ahead;
    private boolean cut; // what comes is read away
    private boolean reading; // what the socket held is being passed on
    private boolean goingOn; // what was kept is being passed on
    private boolean due; // what is kept goes on soon

    InboundFlowControl(StreamBufferBudget budget) {
        this.budget = budget;
    }

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

    /** Whether what it passes on now has been kept for a while. */
    boolean isGoingOn() {
        return goingOn;
    }

    /** {@code toKeep}: whether the end of the connection is to be seen all the same. */
    void shut(boolean toKeep) {
        shut = true;
        ahead = toKeep;
        ctx.channel().config().setAutoRead(cut || ahead && hasRoom());
    }

    void open() {
        shut = false;
        if (kept.isEmpty() && !cut) {
            ctx.channel().config().setAutoRead(true);
        } else if (!due) {
            due = true;
            ctx.executor().execute(this::goOn); // not at once: this may be inside a read
        }
    }

    /**
     * Reads what stands in the socket now, its end above all, so that a client that has left is seen to have. Inside
     * a read of the same socket nothing is done, as that is going on.
     */
    void look() {
        Channel channel = ctx.channel();
        if (reading
                || goingOn
                || shut && !ahead) { // the latter: a body is on its way, and its end is looked for behind it
            return;
        }
        long before = -1;
        for (int i = 0; i < LOOKS_MAX && channel.isOpen() && cameBytes != before; i++) {
            if (shut && !ahead) {
                return;
            }
            cut |= !channel.config().isAutoRead() && !hasRoom();
            before = cameBytes;
            Transport.readNow(channel);
        }
        if (cut && channel.isOpen()) {
            channel.config().setAutoRead(true);
        }
    }

    /** From now on what comes is read away. */
    void discard() {
        cut = true;
        forget();
        ctx.channel().config().setAutoRead(true);
    }

    private void forget() {
        kept.forEach(ByteBuf::release);
        kept.clear();
        count(-bytes);
    }

    private boolean hasRoom() {
        return bytes < AHEAD_MIN || bytes < AHEAD_MAX && budget.keepsMore();
    }

    private void goOn() {
        due = false;
        boolean any = false;
        goingOn = true;
        while (!shut && !kept.isEmpty()) {
            ByteBuf next = kept.poll();
            count(-next.readableBytes());
            any = true;
            ctx.fireChannelRead(next);
        }
        goingOn = false;
        if (any) {
            ctx.fireChannelReadComplete();
        }
        if (!shut && kept.isEmpty()) {
            ctx.channel().config().setAutoRead(true);
            if (cut) {
                ctx.fireUserEventTriggered(Told.CUT_OFF);
            }
        }
    }

    private void count(int more) {
        bytes += more;
        int beyond = Math.max(0, bytes - AHEAD_MIN);
        budget.keep(beyond - borrowed);
        borrowed = beyond;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf more = (ByteBuf) message;
        int length = more.readableBytes();
        cameBytes += length;
        reading = true;
        if (cut) {
            more.release();
            cutBytes += length;
            if (cutBytes > FLOOD_BYTES) {
                context.close();
            }
        } else if (!shut && kept.isEmpty()) {
            context.fireChannelRead(more);
        } else {
            keep(more);
            count(length);
            if (!hasRoom()) {
                context.channel().config().setAutoRead(false);
            }
        }
    }

    /** Small pieces share a buffer, since each has come in one much larger than itself. */
    private void keep(ByteBuf more) {
        ByteBuf last = kept.peekLast();
        if (last != null && last.refCnt() == 1 && last.writableBytes() >= more.readableBytes()) {
            last.writeBytes(more);
            more.release();
        } else {
            kept.add(more);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        reading = false;
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        forget();
        context.fireChannelInactive();
    }
}
