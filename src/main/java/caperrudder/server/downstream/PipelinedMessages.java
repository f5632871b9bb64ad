package caperrudder.server.downstream;

import caperrudder.server.downstream.InboundMessage.InboundRequest;
import caperrudder.server.downstream.InboundMessage.UnreadableRequest;
import java.util.ArrayDeque;

/** What a client has sent ahead of its turn, in order; what is unreadable stands at the end. */
final class PipelinedMessages {
    private static final int MESSAGES_MAX = 16; // read ahead on one connection; then reading stops
    private static final int BYTES_MAX = 16 * 1024; // as well

    private final ArrayDeque<InboundMessage> messages = new ArrayDeque<>(0); // few clients send ahead

    boolean isEmpty() {
        return messages.isEmpty();
    }

    boolean isFull() {
        return messages.size() >= MESSAGES_MAX || (messages.size() > 1 && heldBytes() >= BYTES_MAX);
    }

    private long heldBytes() {
        return messages.stream().mapToLong(InboundMessage::heldBytes).sum();
    }

    /** Takes the message over. Behind a body that can't be read on, its own request is dropped: its end will not come. */
    void add(InboundMessage message) {
        if (message instanceof UnreadableRequest
                && messages.peekLast() instanceof InboundRequest last
                && !last.body().isReceived()) {
            messages.pollLast().release();
        }
        messages.add(message);
    }

    /** The next message, which the caller owns; null where there is none. */
    InboundMessage poll() {
        return messages.poll();
    }

    void releaseAll() {
        messages.forEach(InboundMessage::release);
        messages.clear();
    }
}
