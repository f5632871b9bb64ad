package caperrudder.server.downstream;

import caperrudder.server.http.PartQueue;
import caperrudder.server.runtime.BufferBudget;
import caperrudder.server.runtime.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import java.util.function.BooleanSupplier;

/**
 * Pauses what a client sends before it is decoded. A socket that is not read at all does not tell that its client
 * has left, so some is still read from it and kept until the connection resumes: behind that its end is seen. What a
 * client has sent beyond is read away once its end has to be known: then the connection ends behind what was kept.
 */
final class InboundFlowControl extends ChannelDuplexHandler {
    /** Events for the handlers behind this one. */
    enum Event {
        /** All that was kept has been passed on, and what came after it was read away. */
        INPUT_CUT_OFF
    }

    private static final int KEPT_MIN_BYTES =
            4 * 1024; // of each client whose requests wait their turn; less where little memory is left
    private static final int KEPT_MAX_BYTES = 128 * 1024; // while the budget for all of them lasts
    private static final int READS_MAX = 1024; // at one look, each of some KiB: more than a socket holds
    private static final long DISCARDED_MAX_BYTES = 8 << 20; // after which a client that goes on is closed

    private final PartQueue kept = new PartQueue();
    private final BufferBudget budget;
    private final BooleanSupplier undecoded;
    private ChannelHandlerContext context;
    private int borrowedBytes; // of the budget, beyond what each may keep
    private long receivedBytes;
    private boolean socketEmpty; // right after the last read
    private long discardedBytes;
    private boolean paused;
    private boolean readsAhead; // while paused
    private boolean cutOff; // what comes is read away
    private boolean reading; // what the socket held is being passed on
    private boolean replaying; // what was kept is being passed on
    private boolean replayDue; // what is kept is passed on soon

    /** {@code undecoded}: whether the decoder behind holds bytes that it may go on with once the connection resumes. */
    InboundFlowControl(BufferBudget budget, BooleanSupplier undecoded) {
        this.budget = budget;
        this.undecoded = undecoded;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    boolean isPaused() {
        return paused;
    }

    /** Whether something has come that nobody has decoded yet. */
    boolean isHolding() {
        return !kept.isEmpty() || replayDue;
    }

    /** How many bytes have come on this connection, whatever became of them. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether the read that is being passed on left nothing in the socket. */
    boolean isSocketEmpty() {
        return socketEmpty;
    }

    /** Whether what it passes on now has been kept for a while. */
    boolean isReplaying() {
        return replaying;
    }

    /** {@code readAhead}: whether the end of the connection is to be seen all the same. */
    void pause(boolean readAhead) {
        paused = true;
        readsAhead = readAhead;
        context.channel().config().setAutoRead(cutOff || (readsAhead && hasRoom()));
    }

    void resume() {
        paused = false;
        if (kept.isEmpty() && !cutOff && !undecoded.getAsBoolean()) {
            context.channel().config().setAutoRead(true);
        } else if (!replayDue) {
            replayDue = true;
            context.executor().execute(this::replay); // not at once: this may be inside a read
        }
    }

    /**
     * Reads what stands in the socket now, its end above all, so that a client that has left is seen to have. Inside
     * a read of the same socket nothing is done, as that is going on.
     */
    void readSocket() {
        Channel channel = context.channel();
        if (reading || replaying || isBodyPaused()) {
            return;
        }
        long before = -1;
        for (int i = 0; i < READS_MAX && channel.isOpen() && receivedBytes != before; i++) {
            if (isBodyPaused()) {
                return;
            }
            cutOff |= !channel.config().isAutoRead() && !hasRoom();
            before = receivedBytes;
            Transport.readNow(channel);
        }
        if (cutOff && channel.isOpen()) {
            channel.config().setAutoRead(true);
        }
    }

    /** Whether a body is on its way that its receiver can't take: its client's end is looked for behind it. */
    private boolean isBodyPaused() {
        return paused && !readsAhead;
    }

    /** From now on what comes is read away. */
    void discard() {
        cutOff = true;
        releaseKept();
        context.channel().config().setAutoRead(true);
    }

    private void releaseKept() {
        kept.releaseAll();
        countKept();
    }

    private boolean hasRoom() {
        int bytes = kept.heldBytes();
        return bytes < Math.min(KEPT_MIN_BYTES, budget.readBytes())
                || (bytes < KEPT_MAX_BYTES && budget.hasPipelineRoom());
    }

    private void replay() {
        replayDue = false;
        boolean any = false;
        replaying = true;
        socketEmpty = false;
        if (!paused && undecoded.getAsBoolean()) {
            any = true;
            context.fireChannelRead(Unpooled.EMPTY_BUFFER);
        }
        while (!paused && !kept.isEmpty()) {
            ByteBuf next = kept.poll();
            countKept();
            any = true;
            context.fireChannelRead(next);
        }
        replaying = false;
        if (any) {
            context.fireChannelReadComplete();
        }
        if (!paused && kept.isEmpty()) {
            context.channel().config().setAutoRead(true);
            if (cutOff) {
                context.fireUserEventTriggered(Event.INPUT_CUT_OFF);
            }
        }
    }

    private void countKept() {
        int beyond = Math.max(0, kept.heldBytes() - KEPT_MIN_BYTES);
        budget.addPipelinedBytes(beyond - borrowedBytes);
        borrowedBytes = beyond;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        int length = bytes.readableBytes();
        receivedBytes += length;
        socketEmpty = bytes.isWritable();
        reading = true;
        if (cutOff) {
            bytes.release();
            discardedBytes += length;
            if (discardedBytes > DISCARDED_MAX_BYTES) {
                ctx.close();
            }
        } else if (!paused && kept.isEmpty()) {
            ctx.fireChannelRead(bytes);
        } else {
            kept.add(bytes);
            countKept();
            if (!hasRoom()) {
                ctx.channel().config().setAutoRead(false);
            }
        }
    }

    /** The decoder behind asks for another read where one brought it nothing, also while the connection is paused. */
    @Override
    public void read(ChannelHandlerContext ctx) {
        if (ctx.channel().config().isAutoRead()) {
            ctx.read();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releaseKept();
        ctx.fireChannelInactive();
    }
}
