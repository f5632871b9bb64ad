package caperrudder.server.downstream;

import caperrudder.server.http.HeadMemory;
import caperrudder.server.http.RequestBody;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;

/**
 * The inbound side of one client connection: the reader, the messages that wait their turn, the body on its way of
 * the request that had its turn last, and when the client is read further. On the event loop only.
 */
final class InboundRequests {
    private final Channel channel;
    private final RequestReader reader;
    private final BadRequestThrottle throttle;
    private final PipelinedMessages waiting = new PipelinedMessages();
    private RequestBody upload; // of the last request, while there is more of it to come

    InboundRequests(Channel channel, EventLoopContext eventLoop, HeadMemory headMemory) {
        this.channel = channel;
        this.reader = new RequestReader(
                eventLoop.clock(), eventLoop.budget(), headMemory, () -> !waiting.isFull(), this::regulate);
        this.throttle = new BadRequestThrottle(eventLoop.loop(), this::regulate);
    }

    void addTo(ChannelPipeline pipeline) {
        reader.addTo(pipeline);
    }

    // ---- reading

    /** Reads no further ahead than what waits here may hold. */
    void regulate() {
        boolean bodyFull = reader.isBodyFull();
        InboundFlowControl flowControl = reader.flowControl();
        if (throttle.isPaused() || bodyFull || waiting.isFull()) {
            flowControl.pause(!bodyFull || upload == null); // whoever waits for a response may leave
        } else if (flowControl.isPaused()) {
            reader.restartTimeouts();
            flowControl.resume();
        }
    }

    void badRequest() {
        throttle.badRequest();
    }

    /** Reads what stands in the socket, unless the client is not to be read further for now. */
    void readSocketUnlessPaused() {
        if (channel.isActive() && !isPaused()) {
            Transport.readNow(channel);
        }
    }

    /** Reads what stands in the socket, its client's end above all. */
    void readSocket() {
        reader.flowControl().readSocket();
    }

    /** Reads what stands in the socket of the body on its way, unless that can take no more for now. */
    void readUpload() {
        if (isPaused()) {
            return;
        }
        long receivedBefore = reader.flowControl().receivedBytes();
        readSocketUnlessPaused();
        if (channel.isActive() && reader.flowControl().receivedBytes() == receivedBefore) {
            reader.socketFoundEmpty();
        }
    }

    /** From now on what comes is read away. */
    void discardInput() {
        reader.flowControl().discard();
    }

    boolean isPaused() {
        return reader.flowControl().isPaused();
    }

    /** Whether what is read now has been kept for a while. */
    boolean isReplaying() {
        return reader.flowControl().isReplaying();
    }

    /** How often something has come. */
    long reads() {
        return reader.reads();
    }

    /** Whether a part of a request has come and not its end. */
    boolean isInsideRequest() {
        return reader.isInsideRequest();
    }

    /** Whether something unfinished comes too slowly, or no more. */
    boolean isOverdue(double nowMs) {
        return reader.isOverdue(nowMs);
    }

    // ---- what waits its turn

    /** Whether messages wait their turn. */
    boolean isWaiting() {
        return !waiting.isEmpty();
    }

    /** Whether anything has come that had no turn yet, read or unread. */
    boolean isHolding() {
        return !waiting.isEmpty() || reader.flowControl().isHolding();
    }

    /** Takes the message over. */
    void add(InboundMessage message) {
        waiting.add(message);
    }

    /** The next message, which the caller owns. */
    InboundMessage next() {
        InboundMessage message = waiting.poll();
        regulate();
        return message;
    }

    void releaseAll() {
        waiting.releaseAll();
    }

    // ---- the body on its way

    /** The body of the request that has its turn now. */
    void begin(RequestBody body) {
        if (!body.isBuffered()) {
            upload = body.isComplete() ? null : body;
            regulate();
        }
    }

    boolean isUploading() {
        return upload != null;
    }

    /** Whether parts of the body are still to be received. */
    boolean isUploadUnfinished() {
        return upload != null && !upload.isReceived();
    }

    /** Whether it is now known that all of the body has come; true once. */
    boolean completeUpload() {
        if (upload == null || !upload.isComplete()) {
            return false; // its request still waits its turn
        }
        upload = null;
        return true;
    }

    /** Nobody asks for the body any more. */
    void forgetUpload() {
        upload = null;
    }

    /** What still comes of the body is read away. */
    void discardUpload() {
        if (upload != null) {
            upload.discard();
        }
    }
}
