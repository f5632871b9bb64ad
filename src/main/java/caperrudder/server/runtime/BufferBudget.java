package caperrudder.server.runtime;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.util.internal.PlatformDependent;

/**
 * The buffers of all connections to clients and hosts, counted by their capacity wherever they are held: being read,
 * undecoded, in a body or waiting to be written. The less memory is left, the less each connection may read at once and
 * hold, so that the sum stays within a limit. On the event loop only.
 */
public final class BufferBudget {
    /** One part in so many of the memory granted. */
    private static final int MEMORY_DIVISOR = 16;
    /** Of the direct memory of the process; the rest is for what connections hold at least, and for other buffers. */
    private static final double DIRECT_MEMORY_SHARE = 0.75;
    /** One part in so many of what is left may be held by one more message. */
    private static final int MESSAGE_DIVISOR = 64;
    /** One part in so many of the limit, for requests that clients pipeline. */
    private static final int PIPELINED_DIVISOR = 6;

    private static final int MESSAGE_MAX_BYTES = 64 * 1024;
    private static final int MESSAGE_MIN_BYTES = 4 * 1024;
    private static final int READ_MAX_BYTES = 16 * 1024;
    private static final int READ_MIN_BYTES = 1024;
    private static final int MIB = 1024 * 1024;

    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);
    private final long limitBytes;
    private final long exhaustedBytes;
    private long pipelinedBytes; // beyond what each connection may hold by itself

    /** A budget of the process's own direct memory, and from {@code memoryMb} MiB that it may use in all. */
    public BufferBudget(int memoryMb) {
        this(memoryMb, PlatformDependent.maxDirectMemory());
    }

    BufferBudget(int memoryMb, long maxDirectBytes) {
        this.limitBytes =
                (long) Math.min((double) memoryMb * MIB / MEMORY_DIVISOR, maxDirectBytes * DIRECT_MEMORY_SHARE);
        this.exhaustedBytes = limitBytes + (maxDirectBytes - limitBytes) / 2;
    }

    /** Has a channel take its buffers from here, before it reads; the result sets the size of its reads. */
    public ReadBuffers applyTo(Channel channel) {
        ReadBuffers readBuffers = new ReadBuffers(this);
        channel.config().setAllocator(allocator);
        channel.config().setRecvByteBufAllocator(readBuffers);
        return readBuffers;
    }

    /** Where the buffers come from that count. */
    public ByteBufAllocator allocator() {
        return allocator;
    }

    /** The bytes that are held now. */
    public long heldBytes() {
        return allocator.metric().usedDirectMemory();
    }

    private long roomBytes() {
        return Math.max(0, limitBytes - heldBytes());
    }

    /** Whether so much is held that a request whose body would hold more is refused. */
    public boolean isExhausted() {
        return heldBytes() > exhaustedBytes;
    }

    /** How many bytes one more message may hold now, buffered or in the window of its stream: 4 to 64 KiB. */
    public int windowBytes() {
        return clamp(roomBytes() / MESSAGE_DIVISOR, MESSAGE_MIN_BYTES, MESSAGE_MAX_BYTES);
    }

    /** How many bytes may be read at once: 1 to 16 KiB. */
    public int readBytes() {
        return clamp(roomBytes() / MESSAGE_DIVISOR, READ_MIN_BYTES, READ_MAX_BYTES);
    }

    private static int clamp(long bytes, int min, int max) {
        return (int) Math.max(min, Math.min(max, bytes));
    }

    /**
     * How many bytes of a message must have come before it is forwarded. Of one that announces to be long a few do:
     * enough to tell it from one whose length is wrong, which is better retried on another host.
     */
    public int streamedFromBytes(long announcedBytes) {
        return announcedBytes > windowBytes() ? MESSAGE_MIN_BYTES : MESSAGE_MAX_BYTES;
    }

    /** Whether more of the requests that clients pipeline may be held. */
    public boolean hasPipelineRoom() {
        return pipelinedBytes < limitBytes / PIPELINED_DIVISOR && roomBytes() > limitBytes / 2;
    }

    /** So many more bytes of pipelined requests are held, or fewer where negative. */
    public void addPipelinedBytes(int moreBytes) {
        pipelinedBytes += moreBytes;
    }
}
