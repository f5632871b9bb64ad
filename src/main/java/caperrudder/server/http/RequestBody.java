package caperrudder.server.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A request's body: held whole, so that each attempt can send it, or on its way, when what a host has taken is gone.
 * Of the latter it holds no more than a window: who fills it asks whether it is {@code full}. On the event loop only.
 */
public final class RequestBody {
    /** Who sends the body on; told when there is more of it, or its end. */
    public interface Sink {
        void more();
    }

    private final ByteBuf held; // null where the body is on its way
    private final int window;
    private final Runnable room;
    private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>();
    private int bytes;
    private boolean come;
    private boolean whole;
    private boolean discarded;
    private Sink sink;

    private RequestBody(ByteBuf held, int window, Runnable room) {
        this.held = held;
        this.whole = held != null;
        this.window = window;
        this.room = room;
    }

    public static RequestBody held(ByteBuf body) {
        return new RequestBody(body, 0, () -> {});
    }

    /** {@code room} is run when a body that was full no longer is. */
    public static RequestBody arriving(int window, Runnable room) {
        return new RequestBody(null, window, room);
    }

    public boolean isHeld() {
        return held != null;
    }

    /** Whether it is known that there is none. */
    public boolean isEmpty() {
        return held != null && !held.isReadable();
    }

    /** For one attempt, of a body that is held. */
    public ByteBuf copy() {
        return held.retainedDuplicate();
    }

    // ---- a body on its way

    /** Takes the part over. */
    public void add(ByteBuf part) {
        if (discarded || !part.isReadable()) {
            part.release();
            return;
        }
        parts.addLast(part);
        bytes += part.readableBytes();
        tell();
    }

    /** Its last part has come, and follows once it is known that the client has not left. */
    public void hasCome() {
        come = true;
    }

    /** Whether nothing more has to come of it. */
    public boolean isComplete() {
        return come || whole;
    }

    public void end() {
        whole = true;
        tell();
    }

    private void tell() {
        if (sink != null) {
            sink.more();
        }
    }

    /** All of it has come. */
    public boolean isWhole() {
        return whole;
    }

    public boolean isFull() {
        return bytes >= window && !discarded && held == null;
    }

    /** From now on this one sends it; nobody where null. */
    public void to(Sink next) {
        sink = next;
        tell();
    }

    /** The next part, which the caller owns, or null where none has come. */
    public ByteBuf next() {
        ByteBuf part = parts.pollFirst();
        if (part != null) {
            boolean wasFull = isFull();
            bytes -= part.readableBytes();
            if (wasFull && !isFull()) {
                room.run();
            }
        }
        return part;
    }

    /** Whether all has come and been taken. */
    public boolean isDrained() {
        return whole && parts.isEmpty();
    }

    /** Nobody wants it any more: what still comes is read away. */
    public void discard() {
        if (discarded) {
            return;
        }
        boolean wasFull = isFull();
        discarded = true;
        sink = null;
        parts.forEach(ByteBuf::release);
        parts.clear();
        bytes = 0;
        if (held != null) {
            held.release();
        }
        if (wasFull) {
            room.run();
        }
    }
}
