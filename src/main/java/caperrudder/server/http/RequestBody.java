package caperrudder.server.http;

import io.netty.buffer.ByteBuf;
import java.util.function.IntSupplier;

/**
 * A request's body: buffered whole, so that each attempt can send it, or streamed, when what a host has taken is gone
 * and can't be replayed. Of a streamed body no more than a window is held: whoever fills it stops reading its client
 * while {@link #isFull}. On the event loop only.
 */
public final class RequestBody {
    /** Sends the body on; called when there is more of it, or its end. */
    public interface Sink {
        void more();
    }

    private final ByteBuf buffered; // null where the body is streamed
    private final IntSupplier windowBytes;
    private final Runnable onRoom;
    private final HeadMemory.Lease head;
    private final PartQueue parts = new PartQueue();
    private double unfinishedAtMs;
    private int smallestWindowBytes = Integer.MAX_VALUE; // what was full stays so until something is taken
    private boolean lastPartReceived;
    private boolean complete;
    private boolean discarded;
    private Sink sink;

    private RequestBody(ByteBuf buffered, IntSupplier windowBytes, Runnable onRoom, HeadMemory.Lease head) {
        this.buffered = buffered;
        this.complete = buffered != null;
        this.windowBytes = windowBytes;
        this.onRoom = onRoom;
        this.head = head;
    }

    /**
     * A body that has come whole; the buffer is taken over.
     *
     * @param head what the head of its request holds, until the body is discarded
     */
    public static RequestBody buffered(ByteBuf body, HeadMemory.Lease head) {
        return new RequestBody(body, () -> 0, () -> {}, head);
    }

    /**
     * A body of which there is more to come.
     *
     * @param windowBytes from so many bytes held on, the body is full; may change
     * @param onRoom run when something has been taken and the body is not full
     * @param head what the head of its request holds, until the body is discarded
     */
    public static RequestBody streamed(IntSupplier windowBytes, Runnable onRoom, HeadMemory.Lease head) {
        return new RequestBody(null, windowBytes, onRoom, head);
    }

    /** Whether it came whole, so that every attempt can send it. */
    public boolean isBuffered() {
        return buffered != null;
    }

    /** Whether it is known that there is none. */
    public boolean isEmpty() {
        return buffered != null && !buffered.isReadable();
    }

    /** The bytes that the request holds here, with its head. */
    public int heldBytes() {
        return head.bytes() + (buffered == null ? parts.heldBytes() : buffered.readableBytes());
    }

    /** For one attempt, of a body that is buffered; the caller releases it. */
    public ByteBuf copy() {
        return buffered.retainedDuplicate();
    }

    // ---- a streamed body

    /** Takes the part over. */
    public void add(ByteBuf part) {
        if (discarded) {
            part.release();
            return;
        }
        parts.add(part);
        notifySink();
    }

    /** Its last part has been received, and is added once it is known that the client has not left. */
    public void lastPartReceived() {
        lastPartReceived = true;
    }

    /** Whether nothing more has to come from the client, although the last part may still have to be added. */
    public boolean isReceived() {
        return lastPartReceived || complete;
    }

    /** At this time, in ms of the gateway's clock, its client had certainly not written its last byte. */
    public void unfinishedAt(double nowMs) {
        unfinishedAtMs = nowMs;
    }

    /**
     * The last time, in ms of the gateway's clock, at which its client had certainly not written its last byte; 0 where
     * none is known. What came later may stand unread in a socket, with its end.
     */
    public double unfinishedAtMs() {
        return unfinishedAtMs;
    }

    /** All of it has been added. */
    public void end() {
        complete = true;
        notifySink();
    }

    private void notifySink() {
        if (sink != null) {
            sink.more();
        }
    }

    /** Whether all of it has come. */
    public boolean isComplete() {
        return complete;
    }

    /** Whether its client is not to be read further for now. */
    public boolean isFull() {
        if (buffered != null || discarded) {
            return false;
        }
        smallestWindowBytes = Math.min(smallestWindowBytes, windowBytes.getAsInt());
        return parts.heldBytes() >= smallestWindowBytes;
    }

    /** From now on this one sends it; nobody where null. */
    public void setSink(Sink next) {
        sink = next;
        notifySink();
    }

    /** The next part, which the caller owns, or null where none is held. */
    public ByteBuf poll() {
        ByteBuf part = parts.poll();
        if (part != null && !isFull()) { // the window may have been another one when it was
            onRoom.run();
        }
        return part;
    }

    /** Whether all has come and been taken. */
    public boolean isDrained() {
        return complete && parts.isEmpty();
    }

    /** Nobody wants it any more: what still comes is read away. */
    public void discard() {
        if (discarded) {
            return;
        }
        discarded = true;
        head.close();
        sink = null;
        parts.releaseAll();
        if (buffered != null) {
            buffered.release();
        }
        onRoom.run();
    }
}
